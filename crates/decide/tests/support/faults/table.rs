//! A simulated table, whose rows change only by compare-and-set.

use std::collections::{BTreeMap, BTreeSet};

use azurepath_decide::allotment::{Limit, Plan};
use azurepath_decide::name::Name;
use azurepath_decide::ownership::{Outcome, Rows, Stored, Write};
use azurepath_decide::request::Id;

/// A call to the table.
#[derive(Clone, Debug)]
pub enum Op {
    Rows,
    Write(Write),
    Limits(BTreeSet<Name>),
    Plan(Plan),
    /// Registers a request id. Conflicts if it is registered already.
    Intent(Id),
}

/// The table's answer. Rows and limits are `None` if the table could not be reached.
#[derive(Clone, Debug)]
pub enum Reply {
    Rows(Option<Rows>),
    Wrote(Outcome),
    Limits(Option<BTreeMap<Name, Stored<Limit>>>),
    Planned(Outcome),
    Intent(Outcome),
}

impl Op {
    /// Returns the reply that the caller gets if the table has not answered.
    pub fn without_reply(&self, outcome: Outcome) -> Reply {
        match self {
            Op::Rows => Reply::Rows(None),
            Op::Write(_) => Reply::Wrote(outcome),
            Op::Limits(_) => Reply::Limits(None),
            Op::Plan(_) => Reply::Planned(outcome),
            Op::Intent(_) => Reply::Intent(outcome),
        }
    }
}

#[derive(Debug, Default)]
pub struct Table {
    pub revision: u64,
    pub rows: Rows,
    pub limits: BTreeMap<Name, Stored<Limit>>,
    pub intents: BTreeSet<Id>,
}

impl Table {
    pub fn apply(&mut self, op: &Op) -> Reply {
        match op {
            Op::Rows => Reply::Rows(Some(self.rows.clone())),
            Op::Write(write) => Reply::Wrote(self.write(write)),
            Op::Limits(teams) => {
                let is_requested = |name: &&Name| teams.contains(*name);
                let rows = self.limits.keys().filter(is_requested);
                let rows = rows.map(|name| (name.clone(), self.limits[name].clone()));
                Reply::Limits(Some(rows.collect()))
            }
            Op::Plan(plan) => Reply::Planned(self.plan(plan)),
            Op::Intent(id) => Reply::Intent(if self.intents.insert(*id) {
                self.commit()
            } else {
                Outcome::Conflict
            }),
        }
    }

    fn commit(&mut self) -> Outcome {
        self.revision += 1;
        Outcome::Done {
            revision: self.revision,
        }
    }

    fn write(&mut self, write: &Write) -> Outcome {
        let next = self.revision + 1;
        match write {
            Write::Server {
                name,
                revision,
                row,
            } => {
                if *revision != revision_of(&self.rows.servers, name) {
                    return Outcome::Conflict;
                }
                match row {
                    Some(row) => put(&mut self.rows.servers, name, row.clone(), next),
                    None => drop(self.rows.servers.remove(name)),
                }
            }
            Write::Rack {
                name,
                revision,
                row,
            } => {
                if *revision != revision_of(&self.rows.racks, name) {
                    return Outcome::Conflict;
                }
                put(&mut self.rows.racks, name, row.clone(), next);
            }
        }
        self.commit()
    }

    fn plan(&mut self, plan: &Plan) -> Outcome {
        let limits = plan.limits.iter();
        let limits_match = limits.fold(true, |matching, (name, row)| {
            matching && revision_of(&self.limits, name) == row.revision
        });
        let mut racks = plan.racks.iter();
        let racks_match =
            racks.all(|(name, row)| revision_of(&self.rows.racks, name) == row.revision);
        if !limits_match || !racks_match {
            return Outcome::Conflict;
        }
        let next = self.revision + 1;
        for (name, row) in &plan.limits {
            put(&mut self.limits, name, row.row, next);
        }
        for (name, row) in &plan.racks {
            put(&mut self.rows.racks, name, row.row.clone(), next);
        }
        self.commit()
    }
}

fn revision_of<T>(rows: &BTreeMap<Name, Stored<T>>, name: &Name) -> u64 {
    rows.get(name).map_or(0, |row| row.revision)
}

fn put<T>(rows: &mut BTreeMap<Name, Stored<T>>, name: &Name, row: T, revision: u64) {
    rows.insert(name.clone(), Stored { revision, row });
}
