//! Changes to what racks hold of teams' limits: the task that drives the escrow's machine.

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

/// How the escrow paces itself.
const SETUP: Setup = Setup {
    interval: Duration::from_millis(100),
    retry: Duration::from_secs(1),
    review: Duration::from_secs(5),
};

/// How often the escrow is told the time.
const TICK: Duration = Duration::from_millis(50);

/// How long a call to the table may take.
const CALL_WAIT: Duration = Duration::from_secs(2);

/// What the table has answered.
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
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = halt.cancelled() => break,
            _ = ticks.tick() => state.tell(Event::Tick),
            Some(demands) = demands.recv() => state.tell(Event::Demand(demands)),
            Some(answer) = state.calls.join_next(), if !state.calls.is_empty() => {
                if let Ok(answer) = answer {
                    state.answered(answer);
                }
            }
            Ok(()) = snapshot.changed() => {
                snapshot.borrow_and_update();
                state.spread();
                state.tell(Event::Changed);
            }
            Ok(()) = view.changed() => {
                view.borrow_and_update();
                state.spread();
            }
        }
    }
    state.calls.shutdown().await;
}

impl State {
    /// Tells the escrow of the fleet's racks and the teams' limits.
    fn spread(&mut self) {
        let racks = self.process.view.borrow().racks.len();
        let teams = self.process.snapshot.borrow().teams();
        let limits = teams.into_iter().map(|team| (team.name, team.limit));
        let limits = limits.collect();
        self.tell(Event::Fleet { racks, limits });
    }

    fn tell(&mut self, event: Event) {
        let now = self.process.clock.now();
        let owned = self.process.membership.owned();
        let mut actions = std::mem::take(&mut self.actions);
        self.escrow.handle(now, event, &owned, &mut actions);
        actions.drain(..).for_each(|action| self.act(action));
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        let table = self.process.platform.table.clone();
        match action {
            Action::Read { teams } => {
                self.calls.spawn(async move {
                    let read = tokio::time::timeout(CALL_WAIT, read(table.as_ref(), teams));
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

    fn answered(&mut self, answer: Answer) {
        match answer {
            Answer::Read(limits) => self.tell(Event::Read(limits)),
            Answer::Wrote(plan, outcome) => {
                match outcome {
                    Outcome::Done { revision } => self.allotted(*plan, revision),
                    // The rows may be other than they are known to be.
                    Outcome::Conflict | Outcome::Lost => self.process.membership.hint(),
                    Outcome::Failed => {}
                }
                self.tell(Event::Wrote(outcome));
            }
        }
    }

    /// Tells the owner's machine and the member what the racks now hold.
    fn allotted(&self, plan: Plan, revision: u64) {
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
