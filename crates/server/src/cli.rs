//! The command line.

use std::path::PathBuf;

use gumdrop::Options;

/// The exit code for an invalid command line or invalid settings.
pub const USAGE_EXIT_CODE: u8 = 2;

const HELP_HINT: &str = "see `azurepath --help`";

/// The command line options.
#[derive(Debug, Options)]
struct Arguments {
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print this text")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(
        no_short,
        help = "check a settings file and exit; 2 if it is wrong",
        meta = "FILE"
    )]
    check_settings: Option<PathBuf>,
}

/// The command to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print a text.
    Print(String),
    /// Check a settings file.
    Check(PathBuf),
    /// Run the server with a settings file.
    Run(PathBuf),
}

/// Why the command line is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The options could not be parsed.
    #[error("{detail}; {HELP_HINT}")]
    Options {
        /// The error of the parser.
        detail: String,
    },
    /// No settings file was given.
    #[error("no settings file was given; run `azurepath FILE`, or {HELP_HINT}")]
    Missing,
    /// More than one settings file was given.
    #[error("one settings file is enough, but {count} were given; {HELP_HINT}")]
    TooMany {
        /// The number of given files.
        count: usize,
    },
}

/// Parses the arguments that follow the program name.
///
/// # Errors
///
/// Returns [`Error`] if the arguments are invalid; its text says what to type instead.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, Error> {
    let arguments: Vec<String> = arguments.into_iter().collect();
    let parsed = Arguments::parse_args_default(&arguments).map_err(|error| Error::Options {
        detail: error.to_string(),
    })?;
    if parsed.help {
        return Ok(Command::Print(help()));
    }
    if parsed.version {
        return Ok(Command::Print(format!(
            "azurepath {}",
            env!("CARGO_PKG_VERSION")
        )));
    }
    if let Some(path) = parsed.check_settings {
        return Ok(Command::Check(path));
    }
    match parsed.free.as_slice() {
        [] => Err(Error::Missing),
        [path] => Ok(Command::Run(PathBuf::from(path))),
        more => Err(Error::TooMany { count: more.len() }),
    }
}

fn help() -> String {
    format!(
        "Usage: azurepath [OPTIONS] FILE\n\nRuns a server with the settings in FILE.\n\n{}\n\n\
         Exit codes: 0 after a graceful stop, 1 on failure, 2 on wrong usage or settings.",
        Arguments::usage()
    )
}
