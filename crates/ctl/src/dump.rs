//! The `dump` command.

use crate::client::{Call, call};
use crate::config::Config;
use crate::exit::{Exit, Failure};

/// Prints the state of a server.
pub(crate) async fn run(config: &Config) -> Result<Exit, Failure> {
    let reply = call(config, Call::get("/dump")).await?;
    if !reply.status.is_success() {
        return Err(reply.failure());
    }
    println!("{:#}", reply.json());
    Ok(Exit::Done)
}
