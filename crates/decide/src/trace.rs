//! Recorded inputs of the state machines, as JSON lines.
//!
//! The first line is a [`Header`] and each further line a [`Record`]. Random choices derive from
//! the seeds in the header, so the same trace always produces the same outputs.

use std::io::{self, BufRead, Write};

use serde::{Deserialize, Serialize};

use crate::time::Time;
use crate::{cell, event, route};

/// The version of the format.
pub const VERSION: u32 = 1;

/// The first line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The version of the format.
    pub version: u32,
    /// The setup of the owner's state machine, if its inputs are recorded.
    pub cell: Option<cell::Setup>,
    /// The setup of the entry's state machine, if its inputs are recorded.
    pub router: Option<route::Setup>,
}

/// One input of one state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the state machine handled the input.
    pub at: Time,
    /// The state machine and its input.
    #[serde(flatten)]
    pub input: Input,
}

/// An input of one of the state machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "machine", content = "input")]
pub enum Input {
    /// An input of the owner's state machine.
    Cell(event::Event),
    /// An input of the entry's state machine.
    Router(route::Event),
}

/// Why a trace can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("the trace can't be read ({0}); check the path and its permissions")]
    Io(#[from] io::Error),
    /// The file is empty.
    #[error("the trace is empty; record one with the server's setting `trace`")]
    Empty,
    /// The first line is not a header of this version.
    #[error(
        "line 1 is not a header of trace version {VERSION} ({detail}); record the trace again with this version"
    )]
    Header {
        /// What is wrong.
        detail: String,
    },
    /// A line is not a record.
    #[error("line {line} is not a record ({source}); cut the trace before that line")]
    Record {
        /// The number of the line, counted from 1.
        line: u64,
        /// What is wrong.
        source: serde_json::Error,
    },
}

/// Writes a trace of bounded size.
#[derive(Debug)]
pub struct Writer<W> {
    out: W,
    remaining: u64,
    dropped: u64,
}

impl<W: Write> Writer<W> {
    /// Begins a trace of at most `limit` bytes by writing its header.
    ///
    /// # Errors
    ///
    /// Returns an error if the header can't be written or is longer than the limit.
    pub fn new(out: W, limit: u64, header: &Header) -> io::Result<Writer<W>> {
        let mut writer = Writer {
            out,
            remaining: limit,
            dropped: 0,
        };
        if writer.line(header)? {
            Ok(writer)
        } else {
            let text = "the size limit of the trace is too small for its header; raise the limit";
            Err(io::Error::other(text))
        }
    }

    /// Writes a record. Once a record does not fit, it and all later ones are dropped and counted.
    ///
    /// # Errors
    ///
    /// Returns an error if the record can't be written.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        if self.dropped > 0 || !self.line(record)? {
            self.dropped += 1;
        }
        Ok(())
    }

    /// Returns the number of dropped records.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Flushes buffered output.
    ///
    /// # Errors
    ///
    /// Returns an error if the output can't be written.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }

    /// Writes a line if it fits, and returns whether it did.
    fn line(&mut self, value: &impl Serialize) -> io::Result<bool> {
        let mut line = serde_json::to_vec(value)?;
        line.push(b'\n');
        let Some(remaining) = self.remaining.checked_sub(line.len() as u64) else {
            return Ok(false);
        };
        self.remaining = remaining;
        self.out.write_all(&line)?;
        Ok(true)
    }
}

/// Reads a trace.
#[derive(Debug)]
pub struct Reader<R> {
    header: Header,
    input: R,
    line: u64,
}

impl<R: BufRead> Reader<R> {
    /// Reads the header.
    ///
    /// # Errors
    ///
    /// Returns an error if the first line is not a header of this version.
    pub fn new(mut input: R) -> Result<Reader<R>, Error> {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(Error::Empty);
        }
        let header: Header = serde_json::from_str(&line).map_err(|error| Error::Header {
            detail: error.to_string(),
        })?;
        if header.version != VERSION {
            let detail = format!("version {}", header.version);
            return Err(Error::Header { detail });
        }
        Ok(Reader {
            header,
            input,
            line: 1,
        })
    }

    /// Returns the header.
    pub fn header(&self) -> &Header {
        &self.header
    }
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = Result<Record, Error>;

    fn next(&mut self) -> Option<Result<Record, Error>> {
        let mut text = String::new();
        match self.input.read_line(&mut text) {
            Ok(0) => return None,
            Ok(_) => self.line += 1,
            Err(error) => return Some(Err(error.into())),
        }
        let record = serde_json::from_str(&text).map_err(|source| Error::Record {
            line: self.line,
            source,
        });
        Some(record)
    }
}
