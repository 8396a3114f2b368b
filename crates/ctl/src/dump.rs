//! The `dump` command.

use crate::client::{Call, call};
use crate::config::Config;
use crate::exit::{Exit, Failure};

/// Prints the state of a server.
pub(crate) async fn run(config: &Config) -> Result<Exit, Failure> {
    let answer = call(config, Call::get("/dump")).await?;
    if !answer.status.is_success() {
        return Err(answer.failure());
    }
    println!("{:#}", answer.json());
    Ok(Exit::Done)
}
