//! What a command runs with, checked.

use std::net::SocketAddr;

use crate::cli::Options;
use crate::exit::Failure;
use crate::output::Format;

/// The variable with the address of a server.
const SERVER: &str = "AZUREPATH_SERVER";

/// The variable with a key.
const KEY: &str = "AZUREPATH_KEY";

/// What a command runs with.
#[derive(Debug)]
pub(crate) struct Config {
    /// The server.
    pub(crate) server: SocketAddr,
    /// The key, if there is one.
    pub(crate) key: Option<String>,
    /// How results are printed.
    pub(crate) format: Format,
}

impl Config {
    /// Takes options first and the environment second.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] that names the option to give.
    pub(crate) fn new(options: &Options) -> Result<Config, Failure> {
        let server = options
            .server
            .clone()
            .or_else(|| std::env::var(SERVER).ok());
        let server = server.ok_or_else(|| {
            Failure::usage(format!(
                "no server is given; type azurectl --server 10.0.0.7:8080 ... or set {SERVER}"
            ))
        })?;
        let server = server.parse().map_err(|_| {
            Failure::usage(format!(
                "{server:?} is no address; give an IP number and a port, such as 10.0.0.7:8080"
            ))
        })?;
        Ok(Config {
            server,
            key: key(options)?,
            format: options.output,
        })
    }
}

fn key(options: &Options) -> Result<Option<String>, Failure> {
    let Some(file) = &options.key_file else {
        return Ok(std::env::var(KEY).ok().filter(|key| !key.is_empty()));
    };
    let text = std::fs::read_to_string(file).map_err(|error| {
        Failure::usage(format!("{file}: {error}; give a file that holds one key"))
    })?;
    Ok(Some(text.trim().to_owned()))
}
