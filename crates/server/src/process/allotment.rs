//! The task that divides the limits of teams among the racks.
//!
//! It drives the state machine [`Escrow`]: it passes events on and carries out the actions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurepath_decide::allotment::{Action, Escrow, Event, Limit, Plan, Setup};
use azurepath_decide::event;
use azurepath_decide::name::Name;
use azurepath_decide::ownership::{Outcome, Stored};
use azurepath_decide::rack::{Allotted, Demand};
use azurepath_services::table::{Error, Transaction};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::{Process, rows};
use crate::version::{rows as config, store};

/// The intervals of the escrow.
const SETUP: Setup = Setup {
    interval: Duration::from_millis(100),
    retry: Duration::from_secs(1),
    review: Duration::from_secs(5),
};

/// The interval between two ticks of the escrow.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The timeout of a call to the table.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The result of a call to the table.
enum Answer {
    Read(Option<BTreeMap<Name, Stored<Limit>>>),
    Wrote(Box<Plan>, Outcome),
}

struct State {
    process: Process,
    escrow: Escrow,
    actions: Vec<Action>,
    calls: JoinSet<Answer>,
}

/// Runs until `halt`.
pub async fn run(
    process: Process,
    mut demands: mpsc::UnboundedReceiver<Vec<Demand>>,
    halt: CancellationToken,
) {
    let mut snapshot = process.snapshot.clone();
    let mut view = process.view.clone();
    let mut state = State {
        process,
        escrow: Escrow::new(SETUP),
        actions: Vec::new(),
        calls: JoinSet::new(),
    };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = halt.cancelled() => break,
            _ = ticks.tick() => state.handle(Event::Tick),
            Some(demands) = demands.recv() => state.handle(Event::Demand(demands)),
            Some(answer) = state.calls.join_next(), if !state.calls.is_empty() => {
                if let Ok(answer) = answer {
                    state.handle_answer(answer);
                }
            }
            Ok(()) = snapshot.changed() => {
                snapshot.borrow_and_update();
                state.update_fleet();
                state.handle(Event::Changed);
            }
            Ok(()) = view.changed() => {
                view.borrow_and_update();
                state.update_fleet();
            }
        }
    }
    state.calls.shutdown().await;
}

impl State {
    /// Passes the number of racks and the limits of all teams to the escrow.
    fn update_fleet(&mut self) {
        let racks = self.process.view.borrow().racks.len();
        let teams = self.process.snapshot.borrow().teams();
        let limits = teams.into_iter().map(|team| (team.name, team.limit));
        let limits = limits.collect();
        self.handle(Event::Fleet { racks, limits });
    }

    fn handle(&mut self, event: Event) {
        let now = self.process.clock.now();
        let owned = self.process.membership.owned();
        let mut actions = std::mem::take(&mut self.actions);
        self.escrow.handle(now, event, &owned, &mut actions);
        actions.drain(..).for_each(|action| self.execute(action));
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        let table = self.process.platform.table.clone();
        match action {
            Action::Read { teams } => {
                self.calls.spawn(async move {
                    let read = tokio::time::timeout(CALL_TIMEOUT, read(table.as_ref(), teams));
                    Answer::Read(read.await.ok().and_then(Result::ok))
                });
            }
            Action::Write(plan) => {
                self.calls.spawn(async move {
                    let outcome = rows::transact(table.as_ref(), transaction(&plan)).await;
                    Answer::Wrote(Box::new(plan), outcome)
                });
            }
            Action::Reclaim(demand) => self.process.engine.event(event::Event::Reclaim(demand)),
            Action::Keep(demand) => self.process.engine.event(event::Event::Keep(demand)),
        }
    }

    fn handle_answer(&mut self, answer: Answer) {
        match answer {
            Answer::Read(limits) => self.handle(Event::Read(limits)),
            Answer::Wrote(plan, outcome) => {
                match outcome {
                    Outcome::Done { revision } => self.publish_allotments(*plan, revision),
                    // The rows in the table may differ from the copy here.
                    Outcome::Conflict | Outcome::Lost => self.process.membership.hint(),
                    Outcome::Failed => {}
                }
                self.handle(Event::Wrote(outcome));
            }
        }
    }

    /// Passes the new allotments of the racks to the engine and to the membership task.
    fn publish_allotments(&self, plan: Plan, revision: u64) {
        for (rack, stored) in plan.racks {
            let allotments = stored.row.allotments;
            self.process
                .membership
                .allotted(rack.clone(), revision, allotments.clone());
            self.process.engine.event(event::Event::Allot(Allotted {
                rack,
                epoch: stored.row.owner.epoch,
                allotments,
            }));
        }
    }
}

async fn read(
    table: &dyn azurepath_services::table::Table,
    teams: BTreeSet<Name>,
) -> Result<BTreeMap<Name, Stored<Limit>>, Error> {
    let mut limits = BTreeMap::new();
    for team in teams {
        if let Some(limit) = store::read(table, &config::limit(&team)).await? {
            limits.insert(team, limit);
        }
    }
    Ok(limits)
}

fn transaction(plan: &Plan) -> Transaction {
    let mut transaction = Transaction::default();
    for (team, stored) in &plan.limits {
        let key = config::limit(team);
        config::put(&mut transaction, key, stored.revision, Some(&stored.row));
    }
    for (rack, stored) in &plan.racks {
        let key = format!("{}{rack}", rows::RACK_PREFIX);
        config::put(&mut transaction, key, stored.revision, Some(&stored.row));
    }
    transaction
}
