//! The configuration of a command.

use std::net::SocketAddr;

use crate::cli::Options;
use crate::exit::Failure;
use crate::output::Format;

/// The environment variable with the address of a server.
const SERVER_VARIABLE: &str = "AZUREPATH_SERVER";

/// The environment variable with a key.
const KEY_VARIABLE: &str = "AZUREPATH_KEY";

/// The validated configuration of a command.
#[derive(Debug)]
pub(crate) struct Config {
    /// The address of the server.
    pub(crate) server: SocketAddr,
    /// The key, if any.
    pub(crate) key: Option<String>,
    /// How results are printed.
    pub(crate) format: Format,
}

impl Config {
    /// Reads the configuration from the options or, if absent, from the environment.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] that names the required option.
    pub(crate) fn new(options: &Options) -> Result<Config, Failure> {
        let server = options
            .server
            .clone()
            .or_else(|| std::env::var(SERVER_VARIABLE).ok());
        let server = server.ok_or_else(|| {
            Failure::usage(format!(
                "no server specified; type azurectl --server 10.0.0.7:8080 ... or set {SERVER_VARIABLE}"
            ))
        })?;
        let server = server.parse().map_err(|_| {
            Failure::usage(format!(
                "{server:?} is not a valid address; use an IP address and a port, such as 10.0.0.7:8080"
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
        return Ok(std::env::var(KEY_VARIABLE)
            .ok()
            .filter(|key| !key.is_empty()));
    };
    let text = std::fs::read_to_string(file).map_err(|error| {
        Failure::usage(format!(
            "{file}: {error}; --key-file must name a file that contains a key"
        ))
    })?;
    Ok(Some(text.trim().to_owned()))
}
