//! The `submit` command.

use std::io::{Read, Write};

use http::Method;

use crate::cli;
use crate::client::{Call, call};
use crate::config::Config;
use crate::exit::{Exit, Failure};

/// Submits a request and prints the payload of its answer.
pub(crate) async fn run(config: &Config, options: &cli::Submit) -> Result<Exit, Failure> {
    let [queue] = options.queue.as_slice() else {
        return Err(Failure::usage(
            "expected one queue; type azurectl submit QUEUE",
        ));
    };
    let payload = payload(options.file.as_deref())?;
    let id = options
        .id
        .iter()
        .map(|id| ("azurepath-request-id", id.clone()));
    let patience = options.patience.iter();
    let patience = patience.map(|patience| ("azurepath-patience", patience.clone()));
    let reply = call(
        config,
        Call {
            method: Method::POST,
            path: format!("/v1/queues/{queue}/requests"),
            headers: id.chain(patience).collect(),
            body: &payload,
        },
    )
    .await?;
    if !reply.status.is_success() {
        return Err(reply.failure());
    }
    let written = std::io::stdout().write_all(&reply.body);
    written.map_err(|error| {
        Failure::new(
            Exit::Failed,
            format!("the output could not be written: {error}"),
        )
    })?;
    Ok(Exit::Done)
}

fn payload(file: Option<&str>) -> Result<Vec<u8>, Failure> {
    let read = match file {
        Some(file) => std::fs::read(file),
        None => {
            let mut bytes = Vec::new();
            std::io::stdin().read_to_end(&mut bytes).map(|_| bytes)
        }
    };
    read.map_err(|error| {
        Failure::usage(format!(
            "the payload could not be read: {error}; specify it with --file FILE"
        ))
    })
}
