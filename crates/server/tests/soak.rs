//! The real program as several processes under random faults from outside.
//!
//! `AZUREPATH_SOAK_SEEDS=100-149 cargo test -p azurepath-server --test soak` plays other seeds than
//! those of a usual run.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use azurepath_standin::cluster::{Fleet, KEY, configuration};
use azurepath_standin::fault::Injection;
use proxy::{Harm, Proxy};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::Process;
use support::cluster::{address, cancel, id, state, submit};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Seeds of a usual run. Add each seed that ever failed, with a line on the cause.
///
/// 38 and 42 (as 26 before): a gang waited for ever, since the stand-in of the advice service named a
/// single worker for it, which can't hold it. Whether a seed meets such a gang depends on timing.
const SEEDS: [u64; 4] = [1, 2, 38, 42];

/// How long after the faults the last job may be over.
const PATIENCE: Duration = Duration::from_secs(120);

/// For how long faults come.
const SPAN: Duration = Duration::from_secs(10);

const INSTANCES: usize = 3;
const WORKERS: usize = 6;
const CLIENTS: u64 = 4;

/// An instance, while it runs.
type Slot = Arc<Mutex<Option<Process>>>;

struct Soak {
    fleet: Fleet,
    stores: Vec<Proxy>,
    workers: Vec<Proxy>,
    slots: Vec<Slot>,
    directory: PathBuf,
}

/// What clients were told.
#[derive(Debug, Default)]
struct Told {
    accepted: BTreeSet<String>,
    cancelled: BTreeSet<String>,
    /// Jobs that were only ever refused as not run.
    refused: BTreeSet<String>,
    broken: Vec<String>,
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
            soak.list(index);
        }
        for index in 0..INSTANCES {
            let store = Proxy::start(soak.fleet.store.address()).await?;
            soak.stores.push(store);
            soak.slots.push(Arc::default());
            soak.launch(index).await?;
        }
        Ok(soak)
    }

    /// Registers a worker at the address of its proxy.
    fn list(&self, index: usize) {
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
        *self.slots[index].lock().expect("no panic under the lock") = Some(process);
        Ok(())
    }

    /// Prints the state of the instances, and what they have logged of a job and of what they
    /// depend on.
    async fn tell(&self, id: &str) {
        for slot in &self.slots {
            let (events, metrics) = {
                let slot = slot.lock().expect("no panic under the lock");
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
        if let Some(process) = &*self.slots[index].lock().expect("no panic under the lock") {
            process.signal(name).expect("it lives");
        }
    }

    /// Ends a process and starts it anew.
    async fn restart(&self, index: usize, gracefully: bool, pause: Duration) -> Result<()> {
        let process = self.slots[index]
            .lock()
            .expect("no panic under the lock")
            .take();
        if let Some(mut process) = process {
            if gracefully {
                assert!(process.stop().await?.success(), "a stop fails");
            } else {
                process.kill()?;
            }
        }
        sleep(pause).await;
        self.launch(index).await
    }

    /// Plays one fault to its end.
    async fn harm(&self, rng: &mut ChaCha8Rng, version: &mut u64) -> Result<()> {
        let span = millis(rng.random_range(200..2_500));
        let instance = rng.random_range(0..INSTANCES);
        let worker = rng.random_range(0..WORKERS);
        let harms = [
            Harm::Delay(millis(rng.random_range(5..300))),
            Harm::Reset,
            Harm::OneWay,
            Harm::Silence,
        ];
        let harm = *harms.choose(rng).expect("there are some");
        match rng.random_range(0..11) {
            0 | 1 => self.restart(instance, false, span).await?,
            2 => self.restart(instance, true, span / 4).await?,
            3 => {
                self.signal(instance, "STOP");
                sleep(span * 2).await;
                self.signal(instance, "CONT");
            }
            4 => {
                self.stores[instance].harm(harm);
                sleep(span * 2).await;
                self.stores[instance].harm(Harm::None);
            }
            5 => {
                self.workers[worker].harm(harm);
                sleep(span).await;
                self.workers[worker].harm(Harm::None);
            }
            6 => {
                self.stores[instance].silence();
                self.workers[worker].silence();
            }
            7 => {
                let gate = Injection {
                    down: rng.random(),
                    latency_ms: rng.random_range(0..200),
                    lose_answers: rng.random_range(0..6),
                    ..Injection::default()
                };
                self.fleet.store.set_faults(gate);
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
                self.list(worker);
            }
        }
        Ok(())
    }

    /// Ends all faults.
    fn heal(&self) {
        for proxy in self.stores.iter().chain(&self.workers) {
            proxy.harm(Harm::None);
        }
        self.fleet.store.set_faults(Injection::default());
        for index in 0..WORKERS {
            self.list(index);
        }
        for index in 0..INSTANCES {
            self.signal(index, "CONT");
        }
    }
}

impl Drop for Soak {
    fn drop(&mut self) {
        // A directory that stays behind harms no later test.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Submits jobs one after the other, as the platform's clients do, until `end`.
async fn client(number: u64, seed: u64, slots: Vec<Slot>, told: Arc<Mutex<Told>>, end: Instant) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 100 + number);
    let mut job = number * 10_000;
    while Instant::now() < end {
        job += 1;
        let id = id(job);
        let (span, cores) = (rng.random_range(20..900), rng.random_range(500..6_000));
        let count = rng.random_range(1..4);
        let body = serde_json::json!({
            "spec": format!("{span} {cores}"),
            "phases": [{"count": count, "cpu": cores, "memMb": 256, "estMs": 300,
                        "gang": rng.random_bool(0.3)}],
        });
        let leaves = rng.random_bool(0.1);
        hand_in(&id, &body.to_string(), leaves, &slots, &told, &mut rng).await;
        sleep(millis(rng.random_range(0..60))).await;
    }
}

async fn hand_in(
    id: &str,
    body: &str,
    leaves: bool,
    slots: &[Slot],
    told: &Mutex<Told>,
    rng: &mut ChaCha8Rng,
) {
    let mut only_refused = true;
    for _ in 0..5 {
        let slot = slots.choose(rng).expect("there are some");
        let at = slot
            .lock()
            .expect("no panic under the lock")
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
                told.lock()
                    .expect("no panic under the lock")
                    .accepted
                    .insert(id.to_owned());
                if leaves
                    && cancel(at, id)
                        .await
                        .is_ok_and(|answer| answer.status == 200)
                {
                    told.lock()
                        .expect("no panic under the lock")
                        .cancelled
                        .insert(id.to_owned());
                }
                return;
            }
            429 | 503 => {}
            0 | 502 | 504 => only_refused = false,
            // The key is in every configuration, and the queue too.
            other => told
                .lock()
                .expect("no panic under the lock")
                .broken
                .push(format!("{id}: answered {other}")),
        }
        sleep(millis(rng.random_range(50..400))).await;
    }
    if only_refused {
        told.lock()
            .expect("no panic under the lock")
            .refused
            .insert(id.to_owned());
    }
}

async fn play(seed: u64) -> Result<Vec<String>> {
    let soak = Arc::new(Soak::start(seed).await?);
    let told = Arc::new(Mutex::new(Told::default()));
    let end = Instant::now() + SPAN;
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        clients.spawn(client(number, seed, soak.slots.clone(), told.clone(), end));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut version = 1;
    while Instant::now() < end {
        soak.harm(&mut rng, &mut version).await?;
        sleep(millis(rng.random_range(0..300))).await;
    }
    soak.heal();
    while clients.join_next().await.transpose()?.is_some() {}

    let at = |index: usize| {
        let slot = soak.slots[index].lock().expect("no panic under the lock");
        slot.as_ref().map(|process| process.http)
    };
    let accepted = told
        .lock()
        .expect("no panic under the lock")
        .accepted
        .clone();
    let mut broken = std::mem::take(&mut told.lock().expect("no panic under the lock").broken);
    let last = Instant::now() + PATIENCE;
    for id in &accepted {
        loop {
            let seen = match at(0) {
                Some(at) => state(at, id).await,
                None => None,
            };
            if matches!(seen.as_deref(), Some("completed" | "cancelled")) {
                break;
            }
            if Instant::now() > last {
                broken.push(format!("{id}: accepted, and shown as {seen:?} to the last"));
                soak.tell(id).await;
                break;
            }
            sleep(millis(10)).await;
        }
    }
    let told = told.lock().expect("no panic under the lock");
    let runs: Vec<_> = soak
        .fleet
        .workers
        .iter()
        .flat_map(|worker| worker.runs())
        .collect();
    for run in &runs {
        let job = run.task.split('.').next().unwrap_or_default();
        if told.refused.contains(job) {
            broken.push(format!(
                "{}: ran, though it was only ever refused",
                run.task
            ));
        }
    }
    let duplicate_runs = soak.fleet.duplicate_runs();
    if duplicate_runs > 0 {
        broken.push(format!("{duplicate_runs} tasks ran twice"));
    }
    let overcommits: usize = soak
        .fleet
        .workers
        .iter()
        .map(|worker| worker.overcommits())
        .sum();
    if overcommits > 0 {
        broken.push(format!("{overcommits} starts went over a worker's room"));
    }
    eprintln!(
        "seed {seed}: {} accepted, {} cancelled, {} refused, {} runs",
        accepted.len(),
        told.cancelled.len(),
        told.refused.len(),
        runs.len()
    );
    Ok(broken)
}

/// Reads `FIRST-LAST` from the environment.
fn seeds() -> Vec<u64> {
    let given = std::env::var("AZUREPATH_SOAK_SEEDS").ok();
    let range = given.as_deref().and_then(|text| {
        let (first, last) = text.split_once('-')?;
        Some((first.parse().ok()?..=last.parse().ok()?).collect())
    });
    range.unwrap_or_else(|| SEEDS.to_vec())
}

#[tokio::test]
async fn random_faults() -> Result<()> {
    let mut broken = Vec::new();
    for seed in seeds() {
        let found = play(seed).await?;
        broken.extend(found.into_iter().map(|line| format!("seed {seed}: {line}")));
    }
    assert!(broken.is_empty(), "{broken:#?}");
    Ok(())
}
