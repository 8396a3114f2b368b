//! Exit codes that scripts can use, and failures that end with one.

use std::process::ExitCode;

use http::StatusCode;

/// How the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// Done.
    Done = 0,
    /// Failed.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The resource has changed since it was read.
    Conflict = 3,
    /// There is no such resource.
    Missing = 4,
    /// The key does not allow it.
    Denied = 5,
    /// Documents have faults.
    Faulty = 6,
    /// Written, but not in force everywhere yet.
    Pending = 7,
    /// Nothing was done; trying again later may help.
    Unavailable = 8,
    /// It may have been done.
    Unknown = 9,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

impl Exit {
    /// Returns the exit code for a status of the server.
    pub(crate) fn of(status: StatusCode) -> Exit {
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

/// Why a command did not do what it should.
#[derive(Debug)]
pub(crate) struct Failure {
    exit: Exit,
    message: String,
}

impl Failure {
    /// Makes a failure; the message says what to do.
    pub(crate) fn new(exit: Exit, message: impl Into<String>) -> Failure {
        let message = message.into();
        Failure { exit, message }
    }

    /// Makes a failure of the command line.
    pub(crate) fn usage(message: impl Into<String>) -> Failure {
        Failure::new(Exit::Usage, message)
    }

    /// Tells the failure on the standard error stream.
    pub(crate) fn report(&self) -> ExitCode {
        eprintln!("azurectl: {}", self.message);
        ExitCode::from(self.exit)
    }
}
