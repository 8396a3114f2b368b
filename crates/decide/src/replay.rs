//! Replays a trace through the state machines and measures their decisions.

use std::collections::BTreeMap;
use std::fmt;
use std::io::BufRead;

use crate::action::Action;
use crate::cell::Cell;
use crate::class::Class;
use crate::meter::{Distribution, Meter};
use crate::request;
use crate::route::{self, Router};
use crate::trace::{Error as TraceError, Input, Reader, Record};
use crate::verdict::Verdict;

/// Why a replay failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The trace can't be read.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// A record is for a state machine that the header does not set up.
    #[error("record {record} is for the {machine}, which the header leaves out; record both")]
    MissingMachine {
        /// The number of the record, counted from 1.
        record: u64,
        /// The state machine.
        machine: &'static str,
    },
    /// A state machine answered a request twice.
    #[error("record {record}: request {request} was answered twice; report the trace as a fault")]
    AnsweredTwice {
        /// The number of the record, counted from 1.
        record: u64,
        /// The request.
        request: request::Id,
    },
}

/// The measurements of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The number of inputs that were fed.
    pub events: u64,
    /// The number of outputs of all state machines.
    pub actions: u64,
    /// The number of attempts that the owner's state machine started.
    pub starts: u64,
    /// The number of verdicts of the owner's state machine by name.
    pub verdicts: BTreeMap<String, u64>,
    /// The number of verdicts of the entry's state machine by name.
    pub answers: BTreeMap<String, u64>,
    /// The distribution of the time from arrival to the first start, by class.
    pub waits: BTreeMap<Class, Distribution>,
    /// The mean fraction in use of the scarcest resource while work waits; `None` if no work
    /// waited.
    pub packing: Option<f64>,
    /// The mean fraction of the fleet that runs work in excess of its team's fair share while work
    /// waits; `None` if no work waited.
    pub distance: Option<f64>,
}

/// Returns the name of a verdict, such as `not_run limit` or `ran done`.
pub fn label(verdict: &Verdict) -> String {
    match verdict {
        Verdict::NotRun { reason, .. } => format!("not_run {reason}"),
        Verdict::Unknown { .. } => "unknown".to_owned(),
        Verdict::Ran { outcome, .. } => format!("ran {outcome}"),
    }
}

/// Feeds a trace to the state machines.
///
/// # Errors
///
/// Returns [`Error`] if the trace can't be read, lacks the setup of a state machine or makes one
/// answer a request twice.
pub fn run(reader: impl BufRead) -> Result<Outcome, Error> {
    let reader = Reader::new(reader)?;
    let header = reader.header().clone();
    let mut replay = Replay {
        cell: header.cell.map(Cell::new),
        router: header.router.map(Router::new),
        meter: Meter::default(),
        answered: BTreeMap::new(),
        outcome: Outcome::default(),
    };
    for record in reader {
        replay.feed(record?)?;
    }
    Ok(replay.finish())
}

struct Replay {
    cell: Option<Cell>,
    router: Option<Router>,
    meter: Meter,
    /// The requests submitted to the entry's state machine, and whether it has answered them.
    answered: BTreeMap<request::Id, bool>,
    outcome: Outcome,
}

impl Replay {
    fn feed(&mut self, record: Record) -> Result<(), Error> {
        self.outcome.events += 1;
        match record.input {
            Input::Cell(event) => {
                let Some(cell) = &mut self.cell else {
                    return Err(self.missing("owner's state machine (`cell`)"));
                };
                let mut actions = Vec::new();
                let input = event.clone();
                cell.handle(record.at, event, &mut actions);
                self.meter.observe(record.at, &input, &actions);
                self.cell_actions(&actions);
            }
            Input::Router(event) => {
                let Some(router) = &mut self.router else {
                    return Err(self.missing("entry's state machine (`router`)"));
                };
                if let route::Event::Submit { request, .. } = &event {
                    self.answered.insert(request.id, false);
                }
                let mut actions = Vec::new();
                router.handle(record.at, event, &mut actions);
                self.router_actions(&actions)?;
            }
        }
        Ok(())
    }

    fn missing(&self, machine: &'static str) -> Error {
        Error::MissingMachine {
            record: self.outcome.events,
            machine,
        }
    }

    fn cell_actions(&mut self, actions: &[Action]) {
        self.outcome.actions += actions.len() as u64;
        for action in actions {
            match action {
                Action::Start { .. } => self.outcome.starts += 1,
                Action::Answer { verdict, .. } => count(&mut self.outcome.verdicts, verdict),
                _ => {}
            }
        }
    }

    fn router_actions(&mut self, actions: &[route::Action]) -> Result<(), Error> {
        self.outcome.actions += actions.len() as u64;
        for action in actions {
            let route::Action::Answer { request, verdict } = action else {
                continue;
            };
            count(&mut self.outcome.answers, verdict);
            if self.answered.insert(*request, true) == Some(true) {
                return Err(Error::AnsweredTwice {
                    record: self.outcome.events,
                    request: *request,
                });
            }
        }
        Ok(())
    }

    fn finish(mut self) -> Outcome {
        self.outcome.waits = self.meter.waits();
        self.outcome.packing = self.meter.packing();
        self.outcome.distance = self.meter.distance();
        self.outcome
    }
}

fn count(counts: &mut BTreeMap<String, u64>, verdict: &Verdict) {
    *counts.entry(label(verdict)).or_default() += 1;
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "events {}", self.events)?;
        writeln!(f, "actions {}", self.actions)?;
        writeln!(f, "starts {}", self.starts)?;
        for (name, count) in &self.verdicts {
            writeln!(f, "owner: {name} {count}")?;
        }
        for (name, count) in &self.answers {
            writeln!(f, "entry: {name} {count}")?;
        }
        for (class, distribution) in &self.waits {
            writeln!(f, "wait {class}: {distribution}")?;
        }
        if let Some(packing) = self.packing {
            writeln!(f, "packing {:.1}%", packing * 100.0)?;
        }
        if let Some(distance) = self.distance {
            writeln!(f, "distance to share {:.2}%", distance * 100.0)?;
        }
        Ok(())
    }
}
