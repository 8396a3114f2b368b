//! The queues and client accounts that the operator has configured.

use std::time::Duration;

use crate::name::Name;
use crate::size::Size;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The version number, which grows with each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All client accounts.
    pub accounts: Vec<Account>,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub name: Name,
    /// The host name in its clients' requests; empty if any host matches.
    pub host: Name,
    /// The path prefix of its jobs.
    pub prefix: Name,
    /// The pool of workers that run its tasks.
    pub pool: Name,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// How many runs of a task may fail before its job fails.
    pub attempts: u32,
    /// A job is on time if it takes at most this multiple of its critical path, plus `objective`.
    pub stretch: f64,
    /// The fixed part of the time that a job may take.
    pub objective: Duration,
    /// The timing of the advice service, if the queue's tasks need its advice.
    pub advice: Option<AdviceTiming>,
    /// Whether jobs are accepted without a key.
    pub open: bool,
}

/// How long the advice service takes for a question, and how long its tickets are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdviceTiming {
    /// The time for each question.
    pub base: Duration,
    /// The additional time for each worker of a question.
    pub per_worker: Duration,
    /// How long a ticket is valid.
    pub validity: Duration,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The account's name.
    pub name: Name,
    /// The keys that it may use.
    pub keys: Vec<Name>,
    /// Its share when the fleet is full, in jobs per second.
    pub weight: f64,
    /// The total size of its tasks that may run at the same time, across all workers.
    pub limit: Size,
}

impl Config {
    /// Finds the queue for a host and path; the longest matching prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| {
            path.starts_with(&*queue.prefix) && (queue.host.is_empty() || *queue.host == *host)
        };
        let matching = self.queues.iter().filter(matches);
        matching.max_by_key(|queue| queue.prefix.len())
    }

    /// Finds a queue by name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| *queue.name == *name)
    }

    /// Finds the account that may use a key.
    pub fn account_of(&self, key: &str) -> Option<&Account> {
        let holds = |account: &&Account| account.keys.iter().any(|known| **known == *key);
        self.accounts.iter().find(holds)
    }

    /// Finds an account by name.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().find(|account| *account.name == *name)
    }
}
