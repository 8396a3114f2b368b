//! The `drain` command.

use http::Method;
use serde_json::json;

use crate::cli;
use crate::client::{Call, call};
use crate::config::Config;
use crate::exit::{Exit, Failure};
use crate::output::Format;

/// Stops or resumes the placement of new work on a worker. Running work continues to its end.
pub(crate) async fn run(config: &Config, options: &cli::Drain) -> Result<Exit, Failure> {
    let [worker] = options.worker.as_slice() else {
        return Err(Failure::usage(
            "expected one worker; type azurectl drain WORKER",
        ));
    };
    let reason = options.reason.as_deref().unwrap_or_default();
    let document = json!({"reason": reason}).to_string();
    let (method, body) = if options.undo {
        (Method::DELETE, "")
    } else {
        (Method::PUT, document.as_str())
    };
    let reply = call(
        config,
        Call {
            method,
            path: format!("/v1/drains/{worker}"),
            headers: Vec::new(),
            body: body.as_bytes(),
        },
    )
    .await?;
    if !reply.status.is_success() {
        return Err(reply.failure());
    }
    let result = if options.undo {
        "is used again"
    } else {
        "gets no new work"
    };
    match config.format {
        Format::Json => println!("{}", reply.json()),
        Format::Table => println!("{worker} {result}"),
    }
    Ok(Exit::from_status(reply.status))
}
