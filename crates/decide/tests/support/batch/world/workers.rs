//! The workers' side: the registry's entries, the tasks that orders start, and gangs.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use azurepath_decide::batch::fleet::{Entry, Status};
use azurepath_decide::batch::report::Outcome;
use azurepath_decide::batch::{Attempt, StartOutcome, StepId};
use azurepath_decide::name::Name;
use azurepath_decide::size::Size;
use azurepath_decide::time::Time;
use rand::Rng;

use super::super::worker::{Task, Work};
use super::calendar::{Event, Order};
use super::links::{DELIVERY, TIMEOUT};
use super::workload::ATTEMPTS;
use super::{GANG_WAIT, WORKERS, World};

/// The probability that a task fails.
const FAILURE: f64 = 0.08;

/// How long a task works.
const WORK_MS: Range<u64> = 100..1_500;

pub(super) fn capacity() -> Size {
    Size {
        millicores: 32_000,
        memory_mib: 65_536,
        accelerators: 0,
        slots: u64::MAX,
    }
}

impl World {
    /// Returns what the registry lists.
    pub(super) fn entries(&self) -> Vec<Entry> {
        let listed = |node: &usize| !self.unlisted.contains_key(node);
        (0..WORKERS)
            .filter(listed)
            .map(|node| self.entry(node))
            .collect()
    }

    fn entry(&self, node: usize) -> Entry {
        Entry {
            id: Name::from(format!("w{node}")),
            pool: Name::from("pool"),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: Name::from("a"),
            rack: Name::from("r"),
            labels: Vec::new(),
            capacity: capacity(),
            status: Status::Ready,
            born_ms: self.listed_births[node].0 / 1_000 + 1,
        }
    }

    /// Lets the members of gangs work of which all have started.
    pub(super) fn assemble_gangs(&mut self) {
        let mut waiting: BTreeMap<(StepId, u64), u32> = BTreeMap::new();
        for worker in &self.workers {
            let members = worker
                .running
                .iter()
                .filter(|(_, task)| task.waits.is_some());
            for (id, task) in members {
                *waiting.entry((id.step, task.run)).or_default() += 1;
            }
        }
        let specs = &self.specs;
        waiting.retain(|(id, _), members| {
            *members == specs[&id.job].steps[usize::from(id.step)].count
        });
        for worker in &mut self.workers {
            for (id, task) in &mut worker.running {
                if waiting.contains_key(&(id.step, task.run))
                    && let Some(work) = task.waits.take()
                {
                    task.ends = self.now.after(work.time);
                    task.outcome = work.outcome;
                }
            }
        }
    }

    pub(super) fn deliver_start(&mut self, order: &Order) {
        let node = order.node;
        if self.workers[node].born != order.born {
            // The incarnation that the order was sent to has ended.
            self.answer_start(order, TIMEOUT, StartOutcome::Lost);
            return;
        }
        let task = self.draw_task(order.attempt);
        let size = task.size;
        let before = self.workers.clone();
        let (epoch, attempt) = (order.epoch, order.attempt);
        let outcome = self.workers[node].start(self.now, epoch, attempt, order.until_ms, task);
        let began = self.workers[node].running.len() > before[node].running.len();
        if began {
            let context = format!("epoch {epoch}, worker {node}, at {:?}", self.now);
            self.check
                .start(&context, &before, node, attempt.task, &size, ATTEMPTS);
        }
        if self.is_cut(epoch, node) {
            self.answer_start(order, TIMEOUT, StartOutcome::Lost);
        } else {
            self.answer_start(order, DELIVERY, outcome);
        }
    }

    /// Lets the leader learn the outcome of an order, unless the order is not answered.
    fn answer_start(&mut self, order: &Order, after: Duration, outcome: StartOutcome) {
        if order.is_answered {
            let (epoch, attempt) = (order.epoch, order.attempt);
            let started = Event::Started(epoch, order.worker, attempt, outcome, order.until_ms);
            self.schedule(after, started);
        }
    }

    /// Draws what an attempt does. A member of a gang first waits for the others.
    fn draw_task(&mut self, attempt: Attempt) -> Task {
        let fails = self.rng.random_bool(FAILURE);
        let work = Work {
            time: self.span(WORK_MS),
            outcome: if fails {
                Outcome::Failed
            } else {
                Outcome::Done
            },
        };
        let step = &self.specs[&attempt.task.step.job].steps[0];
        let first = if step.gang {
            Work {
                time: GANG_WAIT,
                outcome: Outcome::Alone,
            }
        } else {
            work
        };
        Task {
            run: attempt.run,
            size: step.size,
            ends: self.now.after(first.time),
            outcome: first.outcome,
            waits: step.gang.then_some(work),
        }
    }

    pub(super) fn deliver_stop(&mut self, epoch: u64, node: usize, born: Time, attempt: Attempt) {
        if self.workers[node].born == born && !self.is_cut(epoch, node) {
            self.workers[node].stop(self.now, epoch, attempt);
        }
    }

    pub(super) fn deliver_settle(&mut self, epoch: u64, worker: usize, attempts: Vec<Attempt>) {
        let (node, born) = self.node_of(epoch, worker);
        let answers = self.has_authority(epoch) && self.reaches(epoch, node);
        if !answers || self.workers[node].born != born || self.workers[node].fence > epoch {
            return;
        }
        for attempt in &attempts {
            self.workers[node].stop(self.now, epoch, *attempt);
        }
        let report = self.workers[node].report(self.now);
        self.schedule(DELIVERY, Event::Settled(epoch, worker, attempts, report));
    }
}
