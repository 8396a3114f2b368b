//! Several instances as separate processes under random faults.
//!
//! `AZUREPATH_SOAK_SEEDS=100-149 cargo test -p azurepath-server --test soak` runs other seeds than
//! the default ones.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use azurepath_standin::cluster::worker::Standin;
use azurepath_standin::cluster::{Fleet, KEY, configuration};
use azurepath_standin::fault::Injection;
use proxy::{Fault, Proxy};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::Process;
use support::cluster::{address, cancel, id, leading_epoch, state, submit};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The default seeds. Add each seed that has failed, with the cause.
///
/// 1: a leader that was cut off from the store and from some workers started their tasks again.
///
/// 38 and 42 (and 26 before): a gang waited forever, because the stand-in for the advice service
/// returned a single worker for it, which lacked the capacity. Whether a seed produces such a gang
/// depends on timing.
const DEFAULT_SEEDS: [u64; 4] = [1, 2, 38, 42];

/// How long after the last fault all jobs must be finished.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(120);

/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(10);

const INSTANCES: usize = 3;
const WORKERS: usize = 6;
const CLIENTS: u64 = 4;

/// An instance; `None` while it does not run.
type Slot = Arc<Mutex<Option<Process>>>;

struct Soak {
    fleet: Fleet,
    stores: Vec<Proxy>,
    workers: Vec<Proxy>,
    slots: Vec<Slot>,
    directory: PathBuf,
}

/// The answers that clients received.
#[derive(Debug, Default)]
struct Responses {
    accepted: BTreeSet<String>,
    cancelled: BTreeSet<String>,
    /// Jobs whose submissions were all refused, so that they must not run.
    refused: BTreeSet<String>,
    violations: Vec<String>,
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Soak {
    async fn start(seed: u64) -> Result<Soak> {
        let fleet = Fleet::start(WORKERS)?;
        let name = format!("azurepath-soak-{}-{seed}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        let mut soak = Soak {
            stores: Vec::new(),
            workers: Vec::new(),
            slots: Vec::new(),
            directory,
            fleet,
        };
        for index in 0..WORKERS {
            let proxy = Proxy::start(soak.fleet.workers[index].address()).await?;
            soak.workers.push(proxy);
            soak.register(index);
        }
        for index in 0..INSTANCES {
            let store = Proxy::start(soak.fleet.store.address()).await?;
            soak.stores.push(store);
            soak.slots.push(Arc::default());
            soak.launch(index).await?;
        }
        Ok(soak)
    }

    /// Registers a worker with the address of its proxy.
    fn register(&self, index: usize) {
        let mut entry = self.fleet.workers[index].entry();
        entry["addr"] = self.workers[index].address.to_string().into();
        self.fleet
            .store
            .put("servers", &format!("w{index}"), &entry);
    }

    async fn launch(&self, index: usize) -> Result<()> {
        let store = self.stores[index].address;
        let advice = self.fleet.store.address();
        let text = format!(
            "[server]\nname = i{index}\nregion = r\nfailure_domain = a\n\
             http = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             [cluster]\nready = 127.0.0.1:0\nmetrics = 127.0.0.1:0\nstore = {store}\n\
             advice = {advice}\nlease = 6000ms\ngrace = 4s\n"
        );
        let path = self.directory.join(format!("i{index}.ini"));
        std::fs::write(&path, text)?;
        let process = Process::start(&path).await?;
        *self.slots[index].lock().expect("the lock is not poisoned") = Some(process);
        Ok(())
    }

    /// Prints the state of the instances and their log lines about a job, the leader, the workers
    /// and the dependencies.
    async fn print_diagnostics(&self, id: &str) {
        for slot in &self.slots {
            let (events, metrics) = {
                let slot = slot.lock().expect("the lock is not poisoned");
                let Some(process) = &*slot else {
                    continue;
                };
                (process.log(), address(process, "metrics"))
            };
            if let Ok(metrics) = metrics
                && let Ok(dump) = support::get(metrics, "/dump").await
            {
                eprintln!("{}", dump.text());
            }
            for event in events {
                let event = event.to_string();
                let general = ["leading", "worker ", "write failed", "dependency"];
                if event.contains(id) || general.iter().any(|word| event.contains(word)) {
                    eprintln!("{event}");
                }
            }
        }
    }

    fn signal(&self, index: usize, name: &str) {
        if let Some(process) = &*self.slots[index].lock().expect("the lock is not poisoned") {
            process.signal(name).expect("the process runs");
        }
    }

    /// Stops or kills an instance and starts it again after a pause.
    async fn restart(&self, index: usize, gracefully: bool, pause: Duration) -> Result<()> {
        let process = self.slots[index]
            .lock()
            .expect("the lock is not poisoned")
            .take();
        if let Some(mut process) = process {
            if gracefully {
                assert!(process.stop().await?.success(), "a graceful stop fails");
            } else {
                process.kill()?;
            }
        }
        sleep(pause).await;
        self.launch(index).await
    }

    /// Injects one random fault and clears it.
    async fn inject_fault(&self, rng: &mut ChaCha8Rng, version: &mut u64) -> Result<()> {
        let span = millis(rng.random_range(200..2_500));
        let instance = rng.random_range(0..INSTANCES);
        let worker = rng.random_range(0..WORKERS);
        let faults = [
            Fault::Delay(millis(rng.random_range(5..300))),
            Fault::Reset,
            Fault::OneWay,
            Fault::Silence,
        ];
        let fault = *faults.choose(rng).expect("the slice is not empty");
        match rng.random_range(0..11) {
            0 | 1 => self.restart(instance, false, span).await?,
            2 => self.restart(instance, true, span / 4).await?,
            3 => {
                self.signal(instance, "STOP");
                sleep(span * 2).await;
                self.signal(instance, "CONT");
            }
            4 => {
                self.stores[instance].set_fault(fault);
                sleep(span * 2).await;
                self.stores[instance].set_fault(Fault::None);
            }
            5 => {
                self.workers[worker].set_fault(fault);
                sleep(span).await;
                self.workers[worker].set_fault(Fault::None);
            }
            6 => {
                self.stores[instance].silence_open();
                self.workers[worker].silence_open();
            }
            7 => {
                let injection = Injection {
                    down: rng.random(),
                    latency_ms: rng.random_range(0..200),
                    lose_answers: rng.random_range(0..6),
                    ..Injection::default()
                };
                self.fleet.store.set_faults(injection);
                sleep(span).await;
                self.fleet.store.set_faults(Injection::default());
            }
            8 => self.fleet.store.compact(),
            9 => {
                *version += rng.random_range(1..5);
                let keys = [KEY, "key-2"];
                let keys = &keys[..rng.random_range(1..=2)];
                let config = configuration(*version, keys);
                self.fleet.store.put("op", "config", &config);
            }
            _ => {
                self.fleet.store.remove("servers", &format!("w{worker}"));
                sleep(span).await;
                self.register(worker);
            }
        }
        Ok(())
    }

    /// Returns the index of the leading instance and its epoch.
    fn leader(&self) -> Option<(usize, u64)> {
        self.slots.iter().enumerate().find_map(|(index, slot)| {
            let slot = slot.lock().expect("the lock is not poisoned");
            Some((index, leading_epoch(slot.as_ref()?)?))
        })
    }

    /// Cuts the leader and some of the workers off from the other workers, and soon after from the
    /// store, and heals both.
    async fn cut_off_leader(&self, rng: &mut ChaCha8Rng, end: Instant) {
        sleep(millis(rng.random_range(0..2_000))).await;
        let mut workers: Vec<&Standin> = self.fleet.workers.iter().collect();
        workers.shuffle(rng);
        let (near, far) = workers.split_at(rng.random_range(1..WORKERS));
        let store_delay = millis(rng.random_range(0..1_500));
        let duration = millis(rng.random_range(4_500..6_000));
        let (leader, epoch) = loop {
            match self.leader() {
                Some(leader) => break leader,
                None if Instant::now() > end => return,
                None => sleep(millis(10)).await,
            }
        };
        for worker in near {
            worker.set_reachable_epochs(0..=epoch);
        }
        for worker in far {
            worker.set_reachable_epochs(epoch + 1..=u64::MAX);
        }
        sleep(store_delay).await;
        self.stores[leader].set_fault(Fault::Silence);
        sleep(duration).await;
        self.stores[leader].set_fault(Fault::None);
        for worker in workers {
            worker.set_reachable_epochs(0..=u64::MAX);
        }
    }

    /// Injects one random fault after another.
    async fn inject_faults(&self, rng: &mut ChaCha8Rng, end: Instant) -> Result<()> {
        let mut version = 1;
        while Instant::now() < end {
            self.inject_fault(rng, &mut version).await?;
            sleep(millis(rng.random_range(0..300))).await;
        }
        Ok(())
    }

    /// Clears all faults.
    fn clear_faults(&self) {
        for proxy in self.stores.iter().chain(&self.workers) {
            proxy.set_fault(Fault::None);
        }
        self.fleet.store.set_faults(Injection::default());
        for index in 0..WORKERS {
            self.register(index);
        }
        for index in 0..INSTANCES {
            self.signal(index, "CONT");
        }
    }
}

impl Drop for Soak {
    fn drop(&mut self) {
        // A directory that is left behind does not affect later tests.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Submits jobs one after another until `end`, as the platform's clients do.
async fn client(
    number: u64,
    seed: u64,
    slots: Vec<Slot>,
    responses: Arc<Mutex<Responses>>,
    end: Instant,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 100 + number);
    let mut job = number * 10_000;
    while Instant::now() < end {
        job += 1;
        let id = id(job);
        let (run_ms, millicores) = (rng.random_range(20..900), rng.random_range(500..6_000));
        let count = rng.random_range(1..4);
        let body = serde_json::json!({
            "spec": format!("{run_ms} {millicores}"),
            "phases": [{"count": count, "cpu": millicores, "memMb": 256, "estMs": 300,
                        "gang": rng.random_bool(0.3)}],
        });
        let cancels = rng.random_bool(0.1);
        submit_job(
            &id,
            &body.to_string(),
            cancels,
            &slots,
            &responses,
            &mut rng,
        )
        .await;
        sleep(millis(rng.random_range(0..60))).await;
    }
}

async fn submit_job(
    id: &str,
    body: &str,
    cancels: bool,
    slots: &[Slot],
    responses: &Mutex<Responses>,
    rng: &mut ChaCha8Rng,
) {
    let mut only_refused = true;
    for _ in 0..5 {
        let slot = slots.choose(rng).expect("the slice is not empty");
        let at = slot
            .lock()
            .expect("the lock is not poisoned")
            .as_ref()
            .map(|process| process.http);
        let Some(at) = at else {
            sleep(millis(100)).await;
            continue;
        };
        let answer = tokio::time::timeout(millis(3_000), submit(at, id, body)).await;
        let status = match answer {
            Ok(Ok(answer)) => answer.status.as_u16(),
            Ok(Err(_)) | Err(_) => 0,
        };
        match status {
            200 => {
                responses
                    .lock()
                    .expect("the lock is not poisoned")
                    .accepted
                    .insert(id.to_owned());
                if cancels
                    && cancel(at, id)
                        .await
                        .is_ok_and(|answer| answer.status == 200)
                {
                    responses
                        .lock()
                        .expect("the lock is not poisoned")
                        .cancelled
                        .insert(id.to_owned());
                }
                return;
            }
            429 | 503 => {}
            0 | 502 | 504 => only_refused = false,
            // Every configuration contains the key and the queue, so no other answer is valid.
            other => responses
                .lock()
                .expect("the lock is not poisoned")
                .violations
                .push(format!("{id}: unexpected status {other}")),
        }
        sleep(millis(rng.random_range(50..400))).await;
    }
    if only_refused {
        responses
            .lock()
            .expect("the lock is not poisoned")
            .refused
            .insert(id.to_owned());
    }
}

async fn run_seed(seed: u64) -> Result<Vec<String>> {
    let soak = Arc::new(Soak::start(seed).await?);
    let responses = Arc::new(Mutex::new(Responses::default()));
    let end = Instant::now() + FAULT_DURATION;
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        clients.spawn(client(
            number,
            seed,
            soak.slots.clone(),
            responses.clone(),
            end,
        ));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cut_rng = ChaCha8Rng::seed_from_u64(seed);
    cut_rng.set_stream(1);
    let cut = soak.cut_off_leader(&mut cut_rng, end);
    let ((), injected) = tokio::join!(cut, soak.inject_faults(&mut rng, end));
    injected?;
    soak.clear_faults();
    while clients.join_next().await.transpose()?.is_some() {}

    let at = |index: usize| {
        let slot = soak.slots[index].lock().expect("the lock is not poisoned");
        slot.as_ref().map(|process| process.http)
    };
    let accepted = responses
        .lock()
        .expect("the lock is not poisoned")
        .accepted
        .clone();
    let mut violations = std::mem::take(
        &mut responses
            .lock()
            .expect("the lock is not poisoned")
            .violations,
    );
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    for id in &accepted {
        loop {
            let seen = match at(0) {
                Some(at) => state(at, id).await,
                None => None,
            };
            if matches!(seen.as_deref(), Some("completed" | "cancelled")) {
                break;
            }
            if Instant::now() > deadline {
                violations.push(format!(
                    "{id}: accepted, but still reported as {seen:?} at the end"
                ));
                soak.print_diagnostics(id).await;
                break;
            }
            sleep(millis(10)).await;
        }
    }
    let duplicates = soak.fleet.duplicated_tasks();
    if let Some(task) = duplicates.first() {
        violations.push(format!("{} tasks ran twice", duplicates.len()));
        let job = task.split('.').next().unwrap_or_default();
        soak.print_diagnostics(job).await;
    }
    let responses = responses.lock().expect("the lock is not poisoned");
    let runs: Vec<_> = soak
        .fleet
        .workers
        .iter()
        .flat_map(|worker| worker.runs())
        .collect();
    for run in &runs {
        let job = run.task.split('.').next().unwrap_or_default();
        if responses.refused.contains(job) {
            violations.push(format!(
                "{}: ran although all its submissions were refused",
                run.task
            ));
        }
    }
    let overcommits: usize = soak
        .fleet
        .workers
        .iter()
        .map(|worker| worker.overcommits())
        .sum();
    if overcommits > 0 {
        violations.push(format!(
            "{overcommits} starts exceeded the capacity of a worker"
        ));
    }
    eprintln!(
        "seed {seed}: {} accepted, {} cancelled, {} refused, {} runs",
        accepted.len(),
        responses.cancelled.len(),
        responses.refused.len(),
        runs.len()
    );
    Ok(violations)
}

/// Returns the range `FIRST-LAST` from the environment, or the default seeds.
fn seeds() -> Vec<u64> {
    let text = std::env::var("AZUREPATH_SOAK_SEEDS").ok();
    let range = text.as_deref().and_then(|text| {
        let (first, last) = text.split_once('-')?;
        Some((first.parse().ok()?..=last.parse().ok()?).collect())
    });
    range.unwrap_or_else(|| DEFAULT_SEEDS.to_vec())
}

#[tokio::test]
async fn random_faults() -> Result<()> {
    let mut violations = Vec::new();
    for seed in seeds() {
        let found = run_seed(seed).await?;
        violations.extend(found.into_iter().map(|line| format!("seed {seed}: {line}")));
    }
    assert!(violations.is_empty(), "{violations:#?}");
    Ok(())
}
