//! Sealed segments: entries as JSON lines. Each segment contains the SHA-256 of the one before.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Entry;

/// The prefix of the names of segments in the object store.
const PREFIX: &str = "usage/";

/// The last segment of a chain, as the writer records it in the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The number of the last segment, counted from 1; 0 before the first.
    pub sequence: u64,
    /// The hash of the last segment; empty before the first.
    pub hash: String,
}

/// The first line of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Header {
    writer: String,
    sequence: u64,
    previous: String,
}

/// The last line of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Seal {
    sha256: String,
}

/// A sealed segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The server that wrote the segment, with its incarnation.
    pub writer: String,
    /// The number in the writer's chain, counted from 1.
    pub sequence: u64,
    /// The hash of the previous segment; empty for the first.
    pub previous: String,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The hash of all lines except the last.
    pub hash: String,
}

/// A difference between a segment or chain that was read and what was sealed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// A line is malformed.
    #[error("{name}, line {line}: {detail}; ask the other owner for its copy")]
    Line {
        /// The segment.
        name: String,
        /// The line, counted from 1.
        line: usize,
        /// What is wrong.
        detail: String,
    },
    /// The content does not match the hash under which it was sealed.
    #[error("{name} was changed after it was sealed; ask the other owner for its copy")]
    Changed {
        /// The segment.
        name: String,
    },
    /// The segment does not follow the one before it.
    #[error(
        "{name} does not follow segment {expected} of its writer; a segment is missing or replaced"
    )]
    Gap {
        /// The segment.
        name: String,
        /// The number of the segment that should precede it.
        expected: u64,
    },
    /// The chain ends before the head recorded in the table.
    #[error(
        "the chain of {writer} ends at segment {found} instead of {expected}; segments are missing"
    )]
    Short {
        /// The writer.
        writer: String,
        /// The number of the last segment that was found.
        found: u64,
        /// The number of the last segment according to the table.
        expected: u64,
    },
}

impl Segment {
    /// Seals entries into the segment that follows `head`.
    pub fn seal(writer: &str, head: &Head, entries: Vec<Entry>) -> Segment {
        let mut segment = Segment {
            writer: writer.to_owned(),
            sequence: head.sequence + 1,
            previous: head.hash.clone(),
            entries,
            hash: String::new(),
        };
        segment.hash = hash(&segment.lines());
        segment
    }

    /// Returns the head of the chain that ends with this segment.
    pub fn head(&self) -> Head {
        Head {
            sequence: self.sequence,
            hash: self.hash.clone(),
        }
    }

    /// Returns the name in the object store; the names of one writer sort in chain order.
    pub fn name(&self) -> String {
        format!("{PREFIX}{}/{:010}", self.writer, self.sequence)
    }

    /// Returns the prefix of the names of all segments.
    pub fn prefix() -> &'static str {
        PREFIX
    }

    /// Returns the text to store.
    pub fn text(&self) -> String {
        let seal = Seal {
            sha256: self.hash.clone(),
        };
        format!("{}{}\n", self.lines(), line(&seal))
    }

    /// Parses a stored text and verifies its seal.
    ///
    /// # Errors
    ///
    /// Returns [`Corruption`] if a line is malformed or the seal does not match.
    pub fn parse(name: &str, text: &str) -> Result<Segment, Corruption> {
        let lines: Vec<&str> = text.lines().collect();
        let malformed = |line: usize, detail: String| Corruption::Line {
            name: name.to_owned(),
            line,
            detail,
        };
        let [first, middle @ .., last] = lines.as_slice() else {
            return Err(malformed(1, "the segment is truncated".to_owned()));
        };
        let header: Header =
            serde_json::from_str(first).map_err(|error| malformed(1, error.to_string()))?;
        let seal: Seal = serde_json::from_str(last)
            .map_err(|error| malformed(lines.len(), error.to_string()))?;
        let body_bytes = text.len() - last.len() - usize::from(text.ends_with('\n'));
        if hash(&text[..body_bytes]) != seal.sha256 {
            return Err(Corruption::Changed {
                name: name.to_owned(),
            });
        }
        let mut entries = Vec::with_capacity(middle.len());
        for (index, text) in middle.iter().enumerate() {
            let entry = serde_json::from_str(text);
            entries.push(entry.map_err(|error| malformed(index + 2, error.to_string()))?);
        }
        Ok(Segment {
            writer: header.writer,
            sequence: header.sequence,
            previous: header.previous,
            entries,
            hash: seal.sha256,
        })
    }

    /// Returns all lines except the seal.
    fn lines(&self) -> String {
        let header = Header {
            writer: self.writer.clone(),
            sequence: self.sequence,
            previous: self.previous.clone(),
        };
        let mut lines = line(&header);
        lines.push('\n');
        for entry in &self.entries {
            lines.push_str(&line(entry));
            lines.push('\n');
        }
        lines
    }
}

/// Returns a document as one line of JSON.
fn line(document: &impl Serialize) -> String {
    serde_json::to_string(document).unwrap_or_default()
}

/// Returns the SHA-256 of a text in hexadecimal digits.
fn hash(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Verifies the chain of one writer, segment by segment, up to the head recorded in the table.
#[derive(Debug)]
pub struct Chain {
    writer: String,
    expected: Head,
    found: Head,
}

impl Chain {
    /// Returns the empty chain of a writer, which is to end with `expected` or later.
    pub fn new(writer: &str, expected: Head) -> Chain {
        Chain {
            writer: writer.to_owned(),
            expected,
            found: Head::default(),
        }
    }

    /// Checks that a segment is the next one of the chain.
    ///
    /// # Errors
    ///
    /// Returns [`Corruption::Gap`] if it is not, and [`Corruption::Changed`] if it has the number
    /// of the head in the table but another hash.
    pub fn follow(&mut self, segment: &Segment) -> Result<(), Corruption> {
        let is_next = segment.sequence == self.found.sequence + 1;
        let is_linked = segment.previous == self.found.hash;
        if !is_next || !is_linked || segment.writer != self.writer {
            return Err(Corruption::Gap {
                name: segment.name(),
                expected: self.found.sequence,
            });
        }
        self.found = segment.head();
        let is_head = self.found.sequence == self.expected.sequence;
        if is_head && self.found.hash != self.expected.hash {
            return Err(Corruption::Changed {
                name: segment.name(),
            });
        }
        Ok(())
    }

    /// Checks that the chain has reached the head recorded in the table.
    ///
    /// The head is written after its segment, so a chain may be longer than the head says.
    ///
    /// # Errors
    ///
    /// Returns [`Corruption::Short`] if segments are missing at the end.
    pub fn finish(&self) -> Result<(), Corruption> {
        if self.found.sequence < self.expected.sequence {
            return Err(Corruption::Short {
                writer: self.writer.clone(),
                found: self.found.sequence,
                expected: self.expected.sequence,
            });
        }
        Ok(())
    }
}
