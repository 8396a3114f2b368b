//! Exit codes for scripts, and failures that determine the exit code.

use std::process::ExitCode;

use http::StatusCode;

/// The exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed for another reason.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The resource has changed since it was read.
    Conflict = 3,
    /// The resource does not exist.
    Missing = 4,
    /// The key does not permit the operation.
    Denied = 5,
    /// A document, trace or usage segment is invalid.
    Faulty = 6,
    /// The change is stored but not yet in force on all servers.
    Pending = 7,
    /// Nothing was done; a later retry may succeed.
    Unavailable = 8,
    /// The operation may have taken effect.
    Unknown = 9,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

impl Exit {
    /// Returns the exit code for the status of a response.
    pub(crate) fn from_status(status: StatusCode) -> Exit {
        match status {
            StatusCode::ACCEPTED => Exit::Pending,
            status if status.is_success() => Exit::Done,
            StatusCode::CONFLICT => Exit::Conflict,
            StatusCode::NOT_FOUND => Exit::Missing,
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Exit::Denied,
            StatusCode::UNPROCESSABLE_ENTITY => Exit::Faulty,
            StatusCode::SERVICE_UNAVAILABLE => Exit::Unavailable,
            StatusCode::GATEWAY_TIMEOUT => Exit::Unknown,
            _ => Exit::Failed,
        }
    }
}

/// Why a command failed.
#[derive(Debug)]
pub(crate) struct Failure {
    exit: Exit,
    message: String,
}

impl Failure {
    /// Creates a failure. The message tells the operator what to do.
    pub(crate) fn new(exit: Exit, message: impl Into<String>) -> Failure {
        let message = message.into();
        Failure { exit, message }
    }

    /// Creates a failure for an invalid command line.
    pub(crate) fn usage(message: impl Into<String>) -> Failure {
        Failure::new(Exit::Usage, message)
    }

    /// Prints the failure to standard error and returns its exit code.
    pub(crate) fn report(&self) -> ExitCode {
        eprintln!("azurectl: {}", self.message);
        ExitCode::from(self.exit)
    }
}
