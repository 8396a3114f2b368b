//! Questions to the advice service about which workers may run a step.
//!
//! The service answers one question of an instance at a time and takes over half a second for those
//! of large jobs. On a normal day these alone keep about three instances busy. The questions are
//! therefore spread over all instances, and some instances are kept free of slow questions.
//! Otherwise a quick question could wait longer for its turn than its job may take.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::time::Time;

use super::StepId;
use super::order::Lateness;

/// A question that is expected to take longer than this is slow.
pub(super) const SLOW_QUESTION_THRESHOLD: Duration = Duration::from_millis(200);

/// One in this many instances is kept free of slow questions.
const INSTANCES_PER_QUICK_ONE: usize = 3;

/// How long after its last poll an instance counts as available.
const POLL_TIMEOUT: Duration = Duration::from_secs(3);

/// A question which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The step.
    pub step: StepId,
    /// The ids of the workers that are asked about.
    pub workers: Vec<Name>,
    /// How long the service is expected to take for the answer.
    pub takes: Duration,
    /// How late the step's job is.
    pub lateness: Lateness,
    /// The priority of the step's queue; among equally late questions, lower numbers are asked
    /// first.
    pub priority: u32,
}

impl Question {
    /// Tells whether the service is expected to take longer than 200 ms.
    pub fn is_slow(&self) -> bool {
        self.takes > SLOW_QUESTION_THRESHOLD
    }

    fn rank(&self) -> (Lateness, u32) {
        (self.lateness, self.priority)
    }
}

/// The answer to a question: the workers that may run the step, with their tickets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Pairs of worker id and ticket.
    pub tickets: Vec<(Name, Name)>,
}

/// Queues questions and hands them out to the instances that poll for them.
#[derive(Debug, Default)]
pub struct Dispatcher {
    quick: VecDeque<Question>,
    slow: VecDeque<Question>,
    instances: BTreeMap<Name, Instance>,
}

/// An instance that polls for questions.
#[derive(Clone, Copy, Debug)]
struct Instance {
    /// When it last polled.
    polled: Time,
    /// The time until which it is busy with a slow question.
    slow_until: Option<Time>,
}

impl Dispatcher {
    /// Adds a question.
    pub fn add(&mut self, question: Question) {
        let queue = if question.is_slow() {
            &mut self.slow
        } else {
            &mut self.quick
        };
        let behind = queue
            .iter()
            .position(|other| other.rank() > question.rank());
        queue.insert(behind.unwrap_or(queue.len()), question);
    }

    /// Records that an instance polls and has no open question, and drops instances that no longer
    /// poll.
    pub fn mark_idle(&mut self, instance: &Name, now: Time) {
        let idle = Instance {
            polled: now,
            slow_until: None,
        };
        self.instances.insert(instance.clone(), idle);
        self.instances
            .retain(|_, known| now < known.slow_until.unwrap_or(known.polled).after(POLL_TIMEOUT));
    }

    /// Takes the next question for an idle instance.
    pub fn take(&mut self, instance: &Name, now: Time) -> Option<Question> {
        let rank = |queue: &VecDeque<Question>| queue.front().map(Question::rank);
        let quick = match (rank(&self.quick), rank(&self.slow)) {
            (Some(quick), Some(slow)) => quick <= slow,
            (quick, _) => quick.is_some(),
        };
        if quick || !self.may_take_slow(now) {
            return self.quick.pop_front();
        }
        let question = self.slow.pop_front()?;
        if let Some(known) = self.instances.get_mut(instance) {
            known.slow_until = Some(now.after(question.takes + POLL_TIMEOUT));
        }
        Some(question)
    }

    /// Tells whether one more instance may ask a slow question.
    fn may_take_slow(&self, now: Time) -> bool {
        let busy = |known: &&Instance| known.slow_until.is_some_and(|until| until > now);
        let slow = self.instances.values().filter(busy).count();
        let limit = (self.instances.len() - self.instances.len() / INSTANCES_PER_QUICK_ONE).max(1);
        slow < limit
    }

    /// Returns how many instances poll for questions.
    pub fn instances(&self) -> usize {
        self.instances.len()
    }

    /// Returns how many questions wait.
    pub fn waiting(&self) -> usize {
        self.quick.len() + self.slow.len()
    }
}
