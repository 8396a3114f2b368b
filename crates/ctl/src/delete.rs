//! The `delete` command.

use http::Method;

use crate::cli;
use crate::client::{Call, call};
use crate::config::Config;
use crate::document;
use crate::exit::{Exit, Failure};
use crate::output::Format;

/// Deletes a resource.
pub(crate) async fn run(config: &Config, options: &cli::Delete) -> Result<Exit, Failure> {
    let (collection, name) = document::resource("delete", &options.target)?;
    let tag = options.revision.map(|revision| format!("\"{revision}\""));
    let reply = call(
        config,
        Call {
            method: Method::DELETE,
            path: format!("/v1/{collection}/{name}"),
            headers: tag.into_iter().map(|tag| ("if-match", tag)).collect(),
            body: &[],
        },
    )
    .await?;
    if !reply.status.is_success() {
        return Err(reply.failure());
    }
    let document = reply.json();
    match config.format {
        Format::Json => println!("{document}"),
        Format::Table => println!(
            "{collection}/{name} deleted at revision {}",
            document["revision"]
        ),
    }
    Ok(Exit::from_status(reply.status))
}
