//! The command line.

use gumdrop::Options as _;

use crate::day::Day;
use crate::exit::Failure;
use crate::output::Format;

/// The options before the command.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    /// print this help
    help: bool,
    /// print the version
    #[options(no_short)]
    version: bool,
    /// the address of a server, such as 10.0.0.7:8080 (or AZUREPATH_SERVER)
    #[options(meta = "ADDRESS")]
    pub(crate) server: Option<String>,
    /// the file with an operator's key (or the key in AZUREPATH_KEY)
    #[options(meta = "FILE")]
    pub(crate) key_file: Option<String>,
    /// table or json
    #[options(meta = "FORMAT", default = "table")]
    pub(crate) output: Format,
    /// the command
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The command.
#[derive(Debug, gumdrop::Options)]
pub(crate) enum Command {
    /// create or replace resources from a file
    Apply(Apply),
    /// list resources, or show one
    Get(Get),
    /// show one resource with all its fields
    Describe(Describe),
    /// show changes as they happen
    Watch(Watch),
    /// delete a resource
    Delete(Delete),
    /// stop placing new work on a worker; --undo reverts this
    Drain(Drain),
    /// show the state of a server
    Dump(Dump),
    /// submit a request to a queue
    Submit(Submit),
    /// recompute the bill from the sealed segments, or verify them
    Usage(Usage),
    /// replay a recorded trace
    Replay(Replay),
}

/// The options of `apply`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Apply {
    /// print this help
    pub(crate) help: bool,
    /// the file with documents, or - for standard input
    #[options(meta = "FILE", required)]
    pub(crate) file: String,
    /// check all documents without changing anything
    #[options(no_short)]
    pub(crate) dry_run: bool,
}

/// The options of `get`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Get {
    /// print this help
    pub(crate) help: bool,
    /// the kind, optionally followed by a name
    #[options(free)]
    pub(crate) target: Vec<String>,
    /// list only resources with FIELD=VALUE; separate several with commas
    #[options(meta = "SELECTOR", short = "l")]
    pub(crate) selector: Option<String>,
}

/// The options of `describe`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Describe {
    /// print this help
    pub(crate) help: bool,
    /// the kind and the name
    #[options(free)]
    pub(crate) target: Vec<String>,
}

/// The options of `watch`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Watch {
    /// print this help
    pub(crate) help: bool,
    /// the kind (default: all kinds)
    #[options(free)]
    pub(crate) target: Vec<String>,
    /// start after this revision instead of the newest
    #[options(meta = "REVISION")]
    pub(crate) from: Option<u64>,
    /// stop after this many changes
    #[options(meta = "COUNT")]
    pub(crate) count: Option<u64>,
}

/// The options of `delete`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Delete {
    /// print this help
    pub(crate) help: bool,
    /// the kind and the name
    #[options(free)]
    pub(crate) target: Vec<String>,
    /// delete only this revision
    #[options(meta = "REVISION")]
    pub(crate) revision: Option<u64>,
}

/// The options of `drain`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Drain {
    /// print this help
    pub(crate) help: bool,
    /// the worker
    #[options(free)]
    pub(crate) worker: Vec<String>,
    /// the reason, for other operators
    #[options(meta = "TEXT")]
    pub(crate) reason: Option<String>,
    /// place new work on the worker again
    #[options(no_short)]
    pub(crate) undo: bool,
}

/// The options of `dump`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Dump {
    /// print this help
    pub(crate) help: bool,
}

/// The options of `submit`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Submit {
    /// print this help
    pub(crate) help: bool,
    /// the queue
    #[options(free)]
    pub(crate) queue: Vec<String>,
    /// the file with the payload (default: standard input)
    #[options(meta = "FILE")]
    pub(crate) file: Option<String>,
    /// the id of the request, 32 hexadecimal digits; use it again to retry the request
    #[options(meta = "ID")]
    pub(crate) id: Option<String>,
    /// how long to wait for the answer, such as 30s
    #[options(meta = "DURATION")]
    pub(crate) patience: Option<String>,
}

/// The options of `usage`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Usage {
    /// print this help
    pub(crate) help: bool,
    /// verify, to check the segments without printing the bill
    #[options(free)]
    pub(crate) words: Vec<String>,
    /// the address of the platform's services (or AZUREPATH_PLATFORM)
    #[options(meta = "ADDRESS")]
    pub(crate) platform: Option<String>,
    /// only this team
    #[options(meta = "TEAM")]
    pub(crate) team: Option<String>,
    /// the first day (UTC), such as 2026-12-01
    #[options(meta = "DAY", no_short)]
    pub(crate) from: Option<Day>,
    /// the day after the last day (UTC)
    #[options(meta = "DAY", no_short)]
    pub(crate) to: Option<Day>,
}

/// The options of `replay`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Replay {
    /// print this help
    pub(crate) help: bool,
    /// the trace
    #[options(free)]
    pub(crate) trace: Vec<String>,
}

/// A parsed command line.
pub(crate) enum Parsed {
    /// The options of a command to run.
    Options(Options),
    /// A requested text, such as the help, to print.
    Print(String),
}

/// Parses the command line.
///
/// # Errors
///
/// Returns a [`Failure`] that says what to type instead.
pub(crate) fn parse(arguments: impl Iterator<Item = String>) -> Result<Parsed, Failure> {
    let arguments: Vec<String> = arguments.collect();
    let options = Options::parse_args_default(&arguments)
        .map_err(|error| Failure::usage(format!("{error}; try azurectl --help")))?;
    if options.version {
        let version = format!("azurectl {}", env!("CARGO_PKG_VERSION"));
        return Ok(Parsed::Print(version));
    }
    if options.help || options.help_requested() {
        return Ok(Parsed::Print(help(&options)));
    }
    Ok(Parsed::Options(options))
}

fn help(options: &Options) -> String {
    let command = options.command.as_ref();
    match command.and_then(gumdrop::Options::command_name) {
        Some(name) => {
            let usage = Command::command_usage(name).unwrap_or_default();
            format!("Usage: azurectl [OPTIONS] {name} [OPTIONS]\n\n{usage}")
        }
        None => format!(
            "Usage: azurectl [OPTIONS] COMMAND [OPTIONS]\n\n{}\n\nCommands:\n{}\n\n\
             Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 missing, 5 denied, \
             6 faulty documents, 7 pending, 8 unavailable, 9 unknown",
            Options::usage(),
            Options::command_list().unwrap_or_default()
        ),
    }
}
