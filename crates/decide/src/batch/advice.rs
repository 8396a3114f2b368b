//! Questions which workers may run a step, and who asks them.
//!
//! The service answers one question of an instance at a time and takes over half a second for
//! those of large jobs, which are about as much as three instances can ask on a calm day. So the
//! questions are spread over all instances, and some of them are kept free of slow questions: a
//! quick one would otherwise wait longer for its turn than its job may take.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::time::Time;

use super::StepId;
use super::order::Lateness;

/// A question that takes longer is slow.
pub(super) const SLOW: Duration = Duration::from_millis(200);

/// One in so many instances is kept free of slow questions.
const KEPT_FREE: usize = 3;

/// How long after it last came for a question an instance is taken to be there.
const PRESENT: Duration = Duration::from_secs(3);

/// A question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The step.
    pub step: StepId,
    /// The workers by id.
    pub workers: Vec<Name>,
    /// How long the service is expected to take.
    pub takes: Duration,
    /// How late its job is.
    pub lateness: Lateness,
    /// The priority of its queue; lower numbers are asked first among those that are as late.
    pub priority: u32,
}

impl Question {
    /// Tells whether the service takes long for it.
    pub fn is_slow(&self) -> bool {
        self.takes > SLOW
    }

    fn rank(&self) -> (Lateness, u32) {
        (self.lateness, self.priority)
    }
}

/// The answer: each worker that may run the step, with its ticket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Worker and ticket.
    pub tickets: Vec<(Name, Name)>,
}

/// The questions that wait for an instance to ask them.
#[derive(Debug, Default)]
pub struct Dispatcher {
    quick: VecDeque<Question>,
    slow: VecDeque<Question>,
    askers: BTreeMap<Name, Asker>,
}

/// An instance that asks questions.
#[derive(Clone, Copy, Debug)]
struct Asker {
    /// When it last came for a question.
    seen: Time,
    /// Until when it is busy with a slow question.
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

    /// Notes that an instance has nothing to ask.
    pub fn mark_idle(&mut self, instance: &Name, now: Time) {
        let asker = Asker {
            seen: now,
            slow_until: None,
        };
        self.askers.insert(instance.clone(), asker);
        self.askers
            .retain(|_, asker| now < asker.slow_until.unwrap_or(asker.seen).after(PRESENT));
    }

    /// Gives a question to an instance that has nothing to ask.
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
        if let Some(asker) = self.askers.get_mut(instance) {
            asker.slow_until = Some(now.after(question.takes + PRESENT));
        }
        Some(question)
    }

    /// Tells whether one more instance may ask a slow question.
    fn may_take_slow(&self, now: Time) -> bool {
        let busy = |asker: &&Asker| asker.slow_until.is_some_and(|until| until > now);
        let slow = self.askers.values().filter(busy).count();
        let most = (self.askers.len() - self.askers.len() / KEPT_FREE).max(1);
        slow < most
    }

    /// Returns how many instances ask questions.
    pub fn instances(&self) -> usize {
        self.askers.len()
    }

    /// Returns how many questions wait.
    pub fn waiting(&self) -> usize {
        self.quick.len() + self.slow.len()
    }
}
