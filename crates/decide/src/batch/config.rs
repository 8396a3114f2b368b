//! The queues and client accounts that the operator has configured.

use std::time::Duration;

use crate::name::Name;
use crate::size::Size;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Newer versions are higher.
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
    /// The host that its clients name.
    pub host: Name,
    /// What the paths of its jobs begin with.
    pub prefix: Name,
    /// The pool of workers that run its tasks.
    pub pool: Name,
    /// 0 comes first.
    pub priority: u32,
    /// How many runs of a task may fail.
    pub attempts: u32,
    /// How many times its longest chain of work a job may take to be on time.
    pub stretch: f64,
    /// What a job may take besides.
    pub objective: Duration,
    /// How long advice takes and holds, where the queue's tasks need it.
    pub advice: Option<AdviceTiming>,
    /// Whether jobs are taken without a key.
    pub open: bool,
}

/// What the advice service needs for a question, and how long its tickets hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdviceTiming {
    /// For each question.
    pub base: Duration,
    /// For each worker of a question.
    pub each: Duration,
    /// How long a ticket holds.
    pub validity: Duration,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The account's name.
    pub name: Name,
    /// The keys that it may use.
    pub keys: Vec<Name>,
    /// Its share when all is full, in jobs a second.
    pub weight: f64,
    /// What it may have running across all workers.
    pub limit: Size,
}

impl Config {
    /// Finds the queue of a host and path: the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |queue: &&Queue| {
            path.starts_with(&*queue.prefix) && (queue.host.is_empty() || *queue.host == *host)
        };
        let matching = self.queues.iter().filter(fits);
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
