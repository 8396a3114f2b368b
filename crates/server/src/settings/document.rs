//! INI documents whose entries keep their line numbers.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use azurepath_decide::name::Name;
use ini::Ini;

use super::unit;

/// The length of a SHA-256 in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line number, counted from 1; 0 if the fault belongs to no line.
    pub line: usize,
    /// The section and the key, as `[section] key`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

/// Why the settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("{file}: it could not be read ({detail}); give the path of a settings file")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the operating system.
        detail: String,
    },
    /// The file has faults.
    #[error("{}", Listing { file, faults })]
    Faulty {
        /// The file.
        file: String,
        /// All faults, sorted by line.
        faults: Vec<Fault>,
    },
}

/// Formats one line for each fault.
struct Listing<'a> {
    file: &'a str,
    faults: &'a [Fault],
}

impl fmt::Display for Listing<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            let Fault {
                line,
                key,
                problem,
                remedy,
            } = fault;
            write!(f, "{}:{line}: {key}: {problem}; {remedy}", self.file)?;
        }
        Ok(())
    }
}

/// The value of a key as written.
#[derive(Clone, Debug)]
struct Entry {
    line: usize,
    value: String,
}

/// The entries of a file and the faults that were found in them.
#[derive(Debug)]
pub(super) struct Document {
    file: String,
    entries: BTreeMap<(String, String), Entry>,
    sections: BTreeMap<String, usize>,
    /// The valid sections and keys, which are those that have been read.
    known: BTreeSet<(&'static str, &'static str)>,
    faults: Vec<Fault>,
}

impl Document {
    /// Parses the text of a file.
    pub(super) fn parse(file: &str, text: &str) -> Result<Document, Error> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| Error::Faulty {
            file: file.to_owned(),
            faults: vec![Fault {
                line: error.line,
                key: "syntax".to_owned(),
                problem: format!("the line can't be read (column {})", error.col),
                remedy: "write `[section]` and `key = value` lines".to_owned(),
            }],
        })?;
        let mut document = Document {
            file: file.to_owned(),
            entries: BTreeMap::new(),
            sections: BTreeMap::new(),
            known: BTreeSet::new(),
            faults: Vec::new(),
        };
        document.add_entries(text, &ini);
        Ok(document)
    }

    /// Adds all entries with their line numbers, which the INI library does not provide.
    fn add_entries(&mut self, text: &str, ini: &Ini) {
        let mut section = String::new();
        for (index, raw) in text.lines().enumerate() {
            let line = index + 1;
            let trimmed = raw.trim();
            if let Some(name) = trimmed
                .strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
            {
                section = name.trim().to_owned();
                self.sections.entry(section.clone()).or_insert(line);
                continue;
            }
            let comment = trimmed.is_empty() || trimmed.starts_with([';', '#']);
            let Some(end) = trimmed.find(['=', ':']).filter(|_| !comment) else {
                continue;
            };
            self.add_entry(&section, trimmed[..end].trim_end(), line, ini);
        }
    }

    fn add_entry(&mut self, section: &str, key: &str, line: usize, ini: &Ini) {
        let name = (!section.is_empty()).then_some(section);
        let value = ini
            .get_from(name, key)
            .unwrap_or_default()
            .trim()
            .to_owned();
        let entry_key = (section.to_owned(), key.to_owned());
        if let Some(first) = self.entries.get(&entry_key) {
            let remedy = format!("keep one of them; the first is on line {}", first.line);
            self.fault(line, section, key, "is given twice".to_owned(), remedy);
            return;
        }
        self.entries.insert(entry_key, Entry { line, value });
    }

    /// Tells whether the file has a section.
    pub(super) fn has_section(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Tells whether a section has a key.
    pub(super) fn has_key(&self, section: &str, key: &str) -> bool {
        self.entries
            .contains_key(&(section.to_owned(), key.to_owned()))
    }

    /// Reads a name of letters, digits, `-`, `_` and `.`.
    pub(super) fn name(&mut self, section: &'static str, key: &'static str) -> Name {
        let remedy = "give a name of letters, digits, '-', '_' and '.'";
        let read = |text: &str| {
            let valid = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
            (!text.is_empty() && text.chars().all(valid)).then(|| Name::from(text))
        };
        self.required(section, key, remedy, read)
            .unwrap_or_else(|| Name::from(""))
    }

    /// Reads an IP address with a port.
    pub(super) fn address(&mut self, section: &'static str, key: &'static str) -> SocketAddr {
        let remedy = "give an IP number and a port, such as 10.0.0.7:8080";
        self.required(section, key, remedy, |text| text.parse().ok())
            .unwrap_or_else(|| SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))
    }

    /// Reads a path.
    pub(super) fn path(&mut self, section: &'static str, key: &'static str) -> PathBuf {
        let read = |text: &str| (!text.is_empty()).then(|| PathBuf::from(text));
        self.required(section, key, "give the path of a file", read)
            .unwrap_or_default()
    }

    /// Reads a number of cores, such as `0.25`, as thousandths of a core.
    pub(super) fn millicores(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: u64,
    ) -> u64 {
        let remedy = "give a number of cores, such as 0.25 or 2";
        self.optional(section, key, remedy, thousandths)
            .unwrap_or(default)
    }

    /// Reads the speed of a link in Mbit/s, such as `20` or `2.5`, as kbit/s.
    pub(super) fn megabits(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: u64,
    ) -> u64 {
        let remedy = "give a number of Mbit/s, such as 20 or 2.5";
        self.optional(section, key, remedy, thousandths)
            .unwrap_or(default)
    }

    /// Reads a factor of 1 or more, such as `1.5`, if it is given. The template leaves the value empty
    /// where a deployment has none.
    pub(super) fn factor(&mut self, section: &'static str, key: &'static str) -> Option<f64> {
        let remedy = "give a number of 1 or more, such as 1.5, or leave it out";
        let read = |text: &str| match text {
            "" => Some(None),
            text => text
                .parse()
                .ok()
                .filter(|factor: &f64| factor.is_finite() && *factor >= 1.0)
                .map(Some),
        };
        self.optional(section, key, remedy, read).flatten()
    }

    /// Reads a SHA-256 as hexadecimal digits, if it is given.
    pub(super) fn hash(&mut self, section: &'static str, key: &'static str) -> Option<String> {
        let remedy = "give the SHA-256 of the token as 64 hexadecimal digits";
        self.optional(section, key, remedy, |text| {
            let valid = text.len() == HASH_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
            valid.then(|| text.to_ascii_lowercase())
        })
    }

    /// Reads a duration.
    pub(super) fn duration(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: Duration,
    ) -> Duration {
        let remedy = "give a whole number with ms, s, m or h, such as 1500ms";
        self.optional(section, key, remedy, unit::duration)
            .unwrap_or(default)
    }

    /// Reads a number of bytes.
    pub(super) fn bytes(&mut self, section: &'static str, key: &'static str, default: u64) -> u64 {
        let remedy = "give a whole number with B, KiB, MiB or GiB, such as 8MiB";
        self.optional(section, key, remedy, unit::bytes)
            .unwrap_or(default)
    }

    /// Reads a whole number.
    pub(super) fn count(&mut self, section: &'static str, key: &'static str, default: u64) -> u64 {
        self.optional(section, key, "give a whole number", |text| {
            text.parse().ok()
        })
        .unwrap_or(default)
    }

    /// Reports an entry that conflicts with another or is out of range.
    pub(super) fn conflict(&mut self, section: &str, key: &str, remedy: &str) {
        let entry_key = (section.to_owned(), key.to_owned());
        let line = self.entries.get(&entry_key).map_or(0, |entry| entry.line);
        let problem = "clashes with another setting".to_owned();
        self.fault(line, section, key, problem, remedy.to_owned());
    }

    /// Reports entries as unknown whose section or key was never read.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Faulty`] if any fault was found.
    pub(super) fn finish(mut self) -> Result<(), Error> {
        self.check_unknown();
        if self.faults.is_empty() {
            return Ok(());
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(Error::Faulty {
            file: self.file,
            faults: self.faults,
        })
    }

    fn check_unknown(&mut self) {
        let entries = std::mem::take(&mut self.entries);
        for ((section, key), entry) in entries {
            let keys: Vec<&str> = self
                .known
                .iter()
                .filter(|(known, _)| *known == section)
                .map(|(_, key)| *key)
                .collect();
            if keys.contains(&key.as_str()) {
                continue;
            }
            let (problem, remedy) = if keys.is_empty() {
                let sections: BTreeSet<&str> = self.known.iter().map(|(known, _)| *known).collect();
                let list = sections.into_iter().collect::<Vec<_>>().join(", ");
                (
                    "is in an unknown section",
                    format!("the sections are {list}"),
                )
            } else {
                (
                    "is unknown",
                    format!("the keys of [{section}] are {}", keys.join(", ")),
                )
            };
            self.fault(entry.line, &section, &key, problem.to_owned(), remedy);
        }
    }

    /// Reads an entry and reports it if it is missing or invalid.
    fn required<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        remedy: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let entry_key = (section.to_owned(), key.to_owned());
        if !self.entries.contains_key(&entry_key) {
            self.known.insert((section, key));
            let line = self.sections.get(section).copied().unwrap_or(0);
            let problem = "is missing".to_owned();
            self.fault(line, section, key, problem, remedy.to_owned());
            return None;
        }
        self.optional(section, key, remedy, read)
    }

    /// Reads an entry, if there is one, and reports it if it is invalid.
    fn optional<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        remedy: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.known.insert((section, key));
        let entry_key = (section.to_owned(), key.to_owned());
        let Entry { line, value } = self.entries.get(&entry_key)?.clone();
        let parsed = read(&value);
        if parsed.is_none() {
            let problem = format!("can't be {value:?}");
            self.fault(line, section, key, problem, remedy.to_owned());
        }
        parsed
    }

    fn fault(&mut self, line: usize, section: &str, key: &str, problem: String, remedy: String) {
        self.faults.push(Fault {
            line,
            key: format!("[{section}] {key}"),
            problem,
            remedy,
        });
    }
}

/// Reads a decimal number that is not negative as thousandths.
fn thousandths(text: &str) -> Option<u64> {
    let number: f64 = text.parse().ok()?;
    (number.is_finite() && number >= 0.0).then(|| (number * 1_000.0).round() as u64)
}
