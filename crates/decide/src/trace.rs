//! Recorded inputs of the machines, as JSON lines.
//!
//! The first line is a [`Header`], each further line a [`Record`]. Random choices come from the
//! seeds in the header, so the same trace gives the same outputs.

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
    /// What the owner's machine was made with, if its inputs are recorded.
    pub cell: Option<cell::Setup>,
    /// What the entry's machine was made with, if its inputs are recorded.
    pub router: Option<route::Setup>,
}

/// One input of one machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the machine took the input.
    pub at: Time,
    /// The machine and its input.
    #[serde(flatten)]
    pub input: Input,
}

/// A machine with its input.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "machine", content = "input")]
pub enum Input {
    /// An input of the owner's machine.
    Cell(event::Event),
    /// An input of the entry's machine.
    Router(route::Event),
}

/// Why a trace can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("the trace can't be read ({0}); check the path and its permissions")]
    Io(#[from] io::Error),
    /// There is no first line.
    #[error("the trace is empty; record one with the server's setting `trace`")]
    Empty,
    /// The first line is not a header of this version.
    #[error(
        "line 1 is no header of trace version {VERSION} ({detail}); record the trace again with this version"
    )]
    Header {
        /// What was found.
        detail: String,
    },
    /// A line is no record.
    #[error("line {line} is no record ({source}); cut the trace before that line")]
    Record {
        /// Counts lines from 1.
        line: u64,
        /// What was wrong.
        source: serde_json::Error,
    },
}

/// Writes a trace of bounded size.
#[derive(Debug)]
pub struct Writer<W> {
    out: W,
    left: u64,
    dropped: u64,
}

impl<W: Write> Writer<W> {
    /// Writes the header of a trace that takes at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error where the header can't be written or is longer than the limit.
    pub fn new(out: W, limit: u64, header: &Header) -> io::Result<Writer<W>> {
        let mut writer = Writer {
            out,
            left: limit,
            dropped: 0,
        };
        if writer.line(header)? {
            Ok(writer)
        } else {
            let text = "the trace's limit is shorter than its header; raise the limit";
            Err(io::Error::other(text))
        }
    }

    /// Writes a record; once one does not fit, it and all later ones are dropped and counted.
    ///
    /// # Errors
    ///
    /// Returns an error where the record can't be written.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        if self.dropped > 0 || !self.line(record)? {
            self.dropped += 1;
        }
        Ok(())
    }

    /// Returns how many records were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Writes out what is buffered.
    ///
    /// # Errors
    ///
    /// Returns an error where the output fails.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }

    /// Writes a line if it fits, and tells whether it did.
    fn line(&mut self, value: &impl Serialize) -> io::Result<bool> {
        let mut line = serde_json::to_vec(value)?;
        line.push(b'\n');
        let Some(left) = self.left.checked_sub(line.len() as u64) else {
            return Ok(false);
        };
        self.left = left;
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
    /// Returns an error where the first line is no header of this version.
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
