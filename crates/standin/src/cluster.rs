//! Stand-ins for the users' platform that speak its published protocol: the metadata store, the
//! advice service and the workers.

pub mod store;
pub mod worker;

use std::time::Duration;

use anyhow::Result;
use serde_json::json;

/// A store and its workers.
pub struct Fleet {
    /// The store.
    pub store: store::Standin,
    /// The workers.
    pub workers: Vec<worker::Standin>,
}

/// The key of the only client account.
pub const KEY: &str = "key-1";

/// The path prefix of the only queue.
pub const PATH_PREFIX: &str = "/checks/";

impl Fleet {
    /// Starts a store with a configuration of one queue, and workers that register there.
    ///
    /// # Errors
    ///
    /// Fails if it can't bind a port or start a thread.
    pub fn start(workers: usize) -> Result<Fleet> {
        let store = store::Standin::start()?;
        store.put("op", "config", &configuration(1, &[KEY]));
        let mut fleet = Fleet {
            store,
            workers: Vec::new(),
        };
        for number in 0..workers {
            fleet.join(&format!("w{number}"))?;
        }
        Ok(fleet)
    }

    /// Starts a worker and registers it.
    ///
    /// # Errors
    ///
    /// Fails if it can't bind a port or start a thread.
    pub fn join(&mut self, id: &str) -> Result<()> {
        let worker = worker::Standin::start(id)?;
        self.store.put("servers", id, &worker.entry());
        self.workers.push(worker);
        Ok(())
    }

    /// Returns how many runs started although their task was still running or had already
    /// completed.
    pub fn duplicate_runs(&self) -> usize {
        self.duplicated_tasks().len()
    }

    /// Returns the task of each of these runs.
    pub fn duplicated_tasks(&self) -> Vec<String> {
        let mut runs: Vec<worker::Run> = self
            .workers
            .iter()
            .flat_map(worker::Standin::runs)
            .collect();
        runs.sort_by(|a, b| (&a.task, a.started).cmp(&(&b.task, b.started)));
        let is_duplicate = |pair: &&[worker::Run]| {
            let [first, second] = pair else {
                return false;
            };
            first.task == second.task
                && (first.done || first.ended.is_none_or(|ended| ended > second.started))
        };
        let duplicates = runs.windows(2).filter(is_duplicate);
        duplicates.map(|pair| pair[0].task.clone()).collect()
    }

    /// Returns how many runs have started on all workers.
    pub fn started_runs(&self) -> usize {
        self.workers.iter().map(|worker| worker.runs().len()).sum()
    }
}

/// Returns a configuration with one queue and one client account.
pub fn configuration(version: u64, keys: &[&str]) -> serde_json::Value {
    json!({
        "version": version,
        "routes": [{
            "name": "checks", "host": "", "pathPrefix": PATH_PREFIX, "type": "non_idempotent",
            "timeoutMs": 3000, "sloMs": 500, "priority": 0, "backend": "pool", "attempts": 3,
            "stretch": 3.0, "hint": {"decideMs": 1.0, "eachMs": 0.1, "validityMs": 1500},
            "public": false
        }],
        "services": [],
        "limits": {},
        "tenants": [{
            "name": "shop", "apiKeys": keys, "weight": 1000,
            "cap": {"cpu": 0, "memMb": 0, "gpus": 0}
        }]
    })
}

/// The run time of tasks that don't specify one.
pub const DEFAULT_RUN_TIME: Duration = Duration::from_millis(50);
