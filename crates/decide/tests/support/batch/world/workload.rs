//! The jobs, the clients that submit them, and the configuration that they run under.

use std::sync::Arc;
use std::time::Duration;

use azurepath_decide::batch::JobId;
use azurepath_decide::batch::config::{Account, Config, Queue};
use azurepath_decide::batch::spec::{Purpose, Spec, Step};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use rand::Rng;

use super::World;
use super::calendar::Event;

/// How often a task may fail.
pub(super) const ATTEMPTS: u32 = 3;

/// The probability that a client calls a former leader if one lives.
const FORMER_LEADER: f64 = 0.15;

/// The time until a client submits its job again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

const QUEUE: &str = "checks";

const ACCOUNT: &str = "team";

/// Returns the configuration: one queue, and one account without a limit.
pub(super) fn config() -> Arc<Config> {
    let queue = Queue {
        name: Name::from(QUEUE),
        host: Name::from(""),
        prefix: Name::from("/checks/"),
        pool: Name::from("pool"),
        priority: 0,
        attempts: ATTEMPTS,
        stretch: 2.0,
        objective: Duration::from_millis(500),
        advice: None,
        open: false,
    };
    let account = Account {
        name: Name::from(ACCOUNT),
        keys: Vec::new(),
        weight: 100.0,
        limit: Size::MAX,
    };
    Arc::new(Config {
        version: 1,
        queues: vec![queue],
        accounts: vec![account],
    })
}

/// Returns a step that follows the steps `after`.
fn step(count: u32, gang: bool, after: Vec<u16>) -> Step {
    Step {
        count,
        size: Size {
            millicores: 5_000,
            memory_mib: 6_000,
            accelerators: 0,
            slots: 0,
        },
        estimate: Duration::from_millis(800),
        after,
        gang,
        same_rack: false,
        label: None,
        near: None,
        most_on_worker: None,
        purpose: Purpose::Work,
    }
}

impl World {
    /// Schedules the submission of a job.
    pub fn submit(&mut self, after: Duration, gang: bool, count: u32, chain: bool) {
        let id = JobId(self.rng.random());
        let mut steps = vec![step(count, gang, Vec::new())];
        if chain {
            steps.push(step(count, gang, vec![0]));
        }
        let spec = Spec {
            payload: Name::from("work"),
            steps,
            schedule: None,
        };
        self.specs.insert(id, spec);
        self.schedule(after, Event::Submit(id));
    }

    /// Returns the epoch of the leader that a client calls: the newest, or sometimes a former one.
    fn called_leader(&mut self) -> Option<u64> {
        let (&newest, _) = self.leaders.last_key_value()?;
        let (&oldest, _) = self.leaders.first_key_value()?;
        let former = oldest < newest && self.rng.random_bool(FORMER_LEADER);
        Some(if former { oldest } else { newest })
    }

    /// Submits a job to a leader, again and again until it is accepted.
    pub(super) fn submit_now(&mut self, id: JobId) {
        if self.accepted.contains(&id) {
            return;
        }
        self.schedule(RETRY_INTERVAL, Event::Submit(id));
        let call = self.calendar.new_id();
        let spec = self.specs[&id].clone();
        let epoch = self.called_leader();
        if let Some(leader) = epoch.and_then(|epoch| self.leaders.get_mut(&epoch)) {
            let account = Some(Name::from(ACCOUNT));
            let queue = Name::from(QUEUE);
            leader.calls.insert(call, id);
            leader.scheduler.submit(call, id, &queue, account, spec);
        }
    }
}
