//! The store, the workers and the advice service, as the pages describe them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, base64, object};
use crate::record::Record;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread has panicked")
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// A row: its value, `None` if it was removed, and its version.
type Rows = BTreeMap<(String, String), (Option<String>, u64)>;

#[derive(Default)]
struct Table {
    rows: Rows,
    version: u64,
}

/// The platform's metadata store.
pub struct Store {
    table: Mutex<Table>,
    changed: Condvar,
}

fn row_json((table, key): &(String, String), (value, version): &(Option<String>, u64)) -> Json {
    let mut fields = vec![
        ("table".to_owned(), table.as_str().into()),
        ("part".to_owned(), "".into()),
        ("key".to_owned(), key.as_str().into()),
        ("ver".to_owned(), (*version).into()),
    ];
    match value {
        Some(value) => fields.push(("value".to_owned(), value.as_str().into())),
        None => fields.push(("removed".to_owned(), true.into())),
    }
    Json::Object(fields)
}

impl Store {
    pub fn start() -> (Arc<Store>, Server) {
        let store = Arc::new(Store {
            table: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = store.clone();
        let server = Server::start(move |request| {
            thread::sleep(Duration::from_millis(4));
            served.answer(request)
        });
        (store, server)
    }

    /// Writes a row as the operator or a worker does; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut state = lock(&self.table);
        state.version += 1;
        let version = state.version;
        let value = value.map(|value| base64(value.to_string().as_bytes()));
        state
            .rows
            .insert((table.to_owned(), key.to_owned()), (value, version));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Reply {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match request.path.as_str() {
            "/api/rows-tx" => self.transact(&request.body),
            "/api/rows-get" => {
                let state = lock(&self.table);
                let limit = field("limit").parse().unwrap_or(500).min(500);
                let (table, target) = (field("table"), field("target"));
                let from = (table.clone(), field("from"));
                let mut rows = state.rows.range(from..).filter(|((of, key), row)| {
                    *of == table && row.0.is_some() && (target.is_empty() || *key < target)
                });
                let page: Vec<Json> = rows
                    .by_ref()
                    .take(limit)
                    .map(|(key, row)| row_json(key, row))
                    .collect();
                let more = rows.next().is_some();
                (
                    200,
                    object([
                        ("rows", page.into()),
                        ("hasMore", more.into()),
                        ("ver", state.version.into()),
                        ("nowMs", 0.into()),
                    ]),
                )
            }
            "/api/rows-feed" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                let (table, end) = (field("table"), Instant::now() + wait);
                let mut state = lock(&self.table);
                loop {
                    let changed = state
                        .rows
                        .iter()
                        .filter(|((of, _), row)| *of == table && row.1 > after);
                    let mut changed: Vec<_> = changed.collect();
                    changed.sort_by_key(|(_, row)| row.1);
                    let left = end.saturating_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_zero() {
                        let rows: Vec<Json> = changed
                            .into_iter()
                            .map(|(key, row)| row_json(key, row))
                            .collect();
                        return (
                            200,
                            object([
                                ("rows", rows.into()),
                                ("ver", state.version.into()),
                                ("nowMs", 0.into()),
                            ]),
                        );
                    }
                    state = self
                        .changed
                        .wait_timeout(state, left)
                        .expect("no thread has panicked")
                        .0;
                }
            }
            _ => (404, object([])),
        }
    }

    fn transact(&self, body: &Json) -> Reply {
        let mut state = lock(&self.table);
        let key = |entry: &Json| {
            (
                entry.get("table").text().to_owned(),
                entry.get("key").text().to_owned(),
            )
        };
        let version_of = |rows: &Rows, entry: &Json| match rows.get(&key(entry)) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        let expected = body.get("expectedRev").list();
        if expected
            .iter()
            .any(|entry| version_of(&state.rows, entry) != entry.get("ver").number())
        {
            let rows = expected
                .iter()
                .filter_map(|entry| Some((key(entry), state.rows.get(&key(entry))?)));
            let rows: Vec<Json> = rows
                .filter(|(_, row)| row.0.is_some())
                .map(|(key, row)| row_json(&key, row))
                .collect();
            return (
                412,
                object([
                    ("rows", rows.into()),
                    ("ver", state.version.into()),
                    ("nowMs", 0.into()),
                ]),
            );
        }
        state.version += 1;
        let version = state.version;
        for entry in body.get("setKeys").list() {
            let value = entry.get("value").text().to_owned();
            state.rows.insert(key(entry), (Some(value), version));
        }
        for entry in body.get("remove").list() {
            state.rows.insert(key(entry), (None, version));
        }
        self.changed.notify_all();
        (200, object([("ver", version.into()), ("nowMs", 0.into())]))
    }
}

/// What all workers share.
#[derive(Default)]
pub struct World {
    /// When each member of a gang's run has started, by step and run.
    gangs: Mutex<BTreeMap<(String, u64), BTreeMap<String, Instant>>>,
    /// The runs of gangs of which a member was lost, by step and run.
    broken: Mutex<BTreeSet<(String, u64)>>,
    /// All runs on all workers.
    pub runs: Mutex<Vec<Run>>,
}

impl World {
    fn note_begin(&self, task: &str, run: u64, worker: &str) {
        let begun = Instant::now();
        lock(&self.runs).push(Run {
            task: task.to_owned(),
            run,
            worker: worker.to_owned(),
            begun,
            ended: None,
        });
    }

    fn note_end(&self, task: &str, run: u64, worker: &str) {
        let mut runs = lock(&self.runs);
        let ended = runs
            .iter_mut()
            .rev()
            .find(|it| it.task == task && it.run == run && it.worker == worker);
        if let Some(ended) = ended {
            ended.ended = Some(Instant::now());
        }
    }

    /// Returns the pairs of runs of one task that overlap by more than this time.
    pub fn overlaps(&self, tolerance: Duration) -> Vec<(Run, Run)> {
        let mut runs = lock(&self.runs).clone();
        runs.sort_by(|a, b| (&a.task, a.begun).cmp(&(&b.task, b.begun)));
        let pairs = runs.windows(2).filter(|pair| {
            pair[0].task == pair[1].task
                && pair[0]
                    .ended
                    .is_none_or(|ended| ended > pair[1].begun + tolerance)
        });
        pairs
            .map(|pair| (pair[0].clone(), pair[1].clone()))
            .collect()
    }
}

struct Running {
    run: u64,
    spec: String,
    since: Instant,
}

/// The longest lease.
const HOLD_MAX_MS: u64 = 6_000;

struct State {
    /// The Unix millisecond and the time of its start.
    born: u64,
    begun: Instant,
    fence: u64,
    until_ms: u64,
    running: BTreeMap<String, Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    highest: BTreeMap<String, u64>,
    /// Whether it refuses to start tasks.
    unhealthy: bool,
    /// Whether it has no power.
    crashed: bool,
}

impl State {
    fn new() -> State {
        State {
            born: unix_ms(),
            begun: Instant::now(),
            fence: 0,
            until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest: BTreeMap::new(),
            unhealthy: false,
            crashed: false,
        }
    }

    /// Extends the lease to a time of the worker's clock. A longer lease is shortened.
    fn extend(&mut self, until_ms: u64) {
        let longest = self.clock_ms() + HOLD_MAX_MS;
        self.until_ms = self.until_ms.max(until_ms.min(longest));
    }

    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }
}

/// A run that a worker has begun.
#[derive(Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub begun: Instant,
    pub ended: Option<Instant>,
}

/// A worker. A spec says what its tasks do: `lasts`, `works MS` or `gang COUNT MS`.
pub struct Worker {
    pub id: String,
    pub cpu: u64,
    pub kind: &'static str,
    world: Arc<World>,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

/// A worker and its server.
pub struct Host {
    pub worker: Arc<Worker>,
    pub server: Server,
}

impl Host {
    pub fn start(
        id: &str,
        cpu: u64,
        kind: &'static str,
        world: &Arc<World>,
        record: &Arc<Record>,
    ) -> Host {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            cpu,
            kind,
            world: world.clone(),
            state: Mutex::new(State::new()),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let polled = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                polled.advance(&mut lock(&polled.state));
            }
        });
        let served = worker.clone();
        let server = Server::start(move |request| served.answer(request));
        Host { worker, server }
    }

    /// Returns what the worker writes into the registry.
    pub fn entry(&self) -> Json {
        let capacity = object([
            ("cpu", self.worker.cpu.into()),
            ("memMb", 65_536.into()),
            ("gpus", 0.into()),
        ]);
        object([
            ("backend", "pool".into()),
            ("addr", self.server.address.to_string().into()),
            ("zone", "zrh-a".into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldLeftMs", 0.into()),
            ("capacity", capacity),
            ("labels", vec![self.worker.kind.into(), "r1".into()].into()),
            ("seq", 1.into()),
            ("born", lock(&self.worker.state).born.into()),
        ])
    }

    /// Ends the worker and all that runs on it, for good.
    pub fn crash(&self) {
        self.lose_all();
        self.server.crash();
    }

    /// Takes the power from the worker for some time. Then it starts again under its id and address,
    /// holds and knows nothing of before, and registers.
    pub fn lose_power(&self, time: Duration, store: &Store) {
        self.server.switch_power();
        self.lose_all();
        thread::sleep(time);
        *lock(&self.worker.state) = State::new();
        self.server.switch_power();
        store.put("servers", &self.worker.id, Some(&self.entry()));
        self.worker
            .record
            .note(&format!("{} has started again", self.worker.id));
    }

    fn lose_all(&self) {
        let mut state = lock(&self.worker.state);
        state.crashed = true;
        self.worker.record.note(&format!(
            "{} stops with {} tasks",
            self.worker.id,
            state.running.len()
        ));
        for (task, running) in std::mem::take(&mut state.running) {
            self.worker
                .world
                .note_end(&task, running.run, &self.worker.id);
            if running.spec.starts_with("gang") {
                lock(&self.worker.world.broken).insert((step_of(&task), running.run));
            }
        }
    }
}

fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or("", |(step, _)| step)
        .to_owned()
}

fn refuse(state: &State, reason: &str) -> Reply {
    (
        409,
        object([
            ("clockMs", state.clock_ms().into()),
            ("reason", reason.into()),
        ]),
    )
}

impl Worker {
    /// Returns the tasks that run.
    pub fn running(&self) -> Vec<String> {
        lock(&self.state).running.keys().cloned().collect()
    }

    pub fn set_unhealthy(&self, unhealthy: bool) {
        lock(&self.state).unhealthy = unhealthy;
    }

    /// Ends what is due: the work that is done, or everything once the lease has expired.
    fn advance(&self, state: &mut State) {
        let lapsed = state.clock_ms() > state.until_ms;
        let mut due = Vec::new();
        for (task, running) in &state.running {
            let mut words = running.spec.split(' ');
            let (kind, number) = (
                words.next(),
                words.next().and_then(|word| word.parse().ok()).unwrap_or(0),
            );
            let done = match kind {
                Some("works") => running.since.elapsed().as_millis() as u64 >= number,
                Some("gang") => {
                    let millis: u64 = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
                    let gangs = lock(&self.world.gangs);
                    let members = gangs.get(&(step_of(task), running.run));
                    let complete = members.filter(|members| members.len() as u64 == number);
                    let last = complete.and_then(|members| members.values().max().copied());
                    last.is_some_and(|last| last.elapsed().as_millis() as u64 >= millis)
                }
                _ => false,
            };
            let broken = kind == Some("gang")
                && lock(&self.world.broken).contains(&(step_of(task), running.run));
            let how = match (lapsed, broken, done) {
                (true, _, _) => "lapsed",
                (false, true, _) => "broken",
                (false, false, true) => "done",
                (false, false, false) => continue,
            };
            due.push((task.clone(), how));
        }
        for (task, how) in due {
            self.end(state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(running) = state.running.remove(task) else {
            return;
        };
        self.record.note(&format!(
            "{} ended {task} run {}: {how}",
            self.id, running.run
        ));
        self.world.note_end(task, running.run, &self.id);
        let number = state.next_end;
        state.next_end += 1;
        state
            .ended
            .push((number, task.to_owned(), running.run, how));
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = running.run.max(*highest);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Reply {
        if request
            .headers
            .get("target-instance")
            .is_some_and(|id| *id != self.id)
        {
            return (421, object([]));
        }
        let order = &request.body;
        let mut state = lock(&self.state);
        if state.crashed {
            return (503, object([]));
        }
        if order.get("fence").number() < state.fence {
            return refuse(&state, "fence");
        }
        state.fence = order.get("fence").number();
        self.advance(&mut state);
        let (task, run) = (order.get("task").text(), order.get("run").number());
        match request.path.as_str() {
            "/api/run-start" => self.begin(&mut state, order, task, run),
            "/api/run-stop" => {
                let highest = state.highest.entry(task.to_owned()).or_default();
                *highest = run.max(*highest);
                if state
                    .running
                    .get(task)
                    .is_some_and(|running| running.run == run)
                {
                    self.end(&mut state, task, "stopped");
                }
                (200, object([("clockMs", state.clock_ms().into())]))
            }
            "/api/hold" => self.hold(state, order),
            _ => (404, object([])),
        }
    }

    fn begin(&self, state: &mut State, order: &Json, task: &str, run: u64) -> Reply {
        if state.unhealthy {
            self.record.note(&format!(
                "{} is unhealthy and answers 503 to the order to start {task} run {run}",
                self.id
            ));
            return (503, object([("clockMs", state.clock_ms().into())]));
        }
        if order.get("untilMs").number() < state.clock_ms() {
            return refuse(&state, "late");
        }
        state.extend(order.get("untilMs").number());
        let ok = (200, object([("clockMs", state.clock_ms().into())]));
        if state
            .running
            .get(task)
            .is_some_and(|running| running.run == run)
        {
            return ok;
        }
        if state
            .highest
            .get(task)
            .is_some_and(|highest| *highest >= run)
        {
            return refuse(&state, "old");
        }
        let ticket = order.get("ticket").text();
        if let Some((_, until)) = ticket.split_once('@')
            && until.parse::<u64>().is_ok_and(|until| until < unix_ms())
        {
            return refuse(&state, "ticket");
        }
        self.record
            .note(&format!("{} starts {task} run {run}", self.id));
        self.world.note_begin(task, run, &self.id);
        let spec = order.get("spec").text().to_owned();
        if spec.starts_with("gang") {
            let mut gangs = lock(&self.world.gangs);
            let members = gangs.entry((step_of(task), run)).or_default();
            members.insert(task.to_owned(), Instant::now());
        }
        state.running.insert(
            task.to_owned(),
            Running {
                run,
                spec,
                since: Instant::now(),
            },
        );
        ok
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, order: &Json) -> Reply {
        let end = Instant::now() + Duration::from_millis(order.get("waitMs").number().min(2_000));
        state.extend(order.get("untilMs").number());
        let acked = order.get("ackedUpto").number();
        state.ended.retain(|(number, ..)| *number > acked);
        while state.ended.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .expect("no thread has panicked")
                .0;
        }
        let running = state.running.iter().map(|(task, running)| {
            vec![
                task.as_str().into(),
                running.run.into(),
                "".into(),
                100.into(),
                20.into(),
            ]
            .into()
        });
        let running: Vec<Json> = running.collect();
        let ended = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                vec![
                    (*number).into(),
                    task.as_str().into(),
                    (*run).into(),
                    (*how).into(),
                    "".into(),
                ]
                .into()
            });
        let ended: Vec<Json> = ended.collect();
        (
            200,
            object([
                ("clockMs", state.clock_ms().into()),
                ("born", state.born.into()),
                ("running", running.into()),
                ("ended", ended.into()),
            ]),
        )
    }
}

/// The advice service: every worker may run every step.
pub struct Advice {
    pub base_ms: u64,
    pub each_ms: f64,
    pub valid_ms: u64,
    /// One call at a time for each calling machine.
    pub turn: Mutex<()>,
    /// The questions so far: the step and when it was asked.
    pub asked: Mutex<Vec<(String, Instant)>>,
    pub record: Arc<Record>,
}

impl Advice {
    pub fn answer(&self, request: &Request) -> Reply {
        if request.path != "/api/advise" {
            return (404, object([]));
        }
        let step = request.body.get("step").text().to_owned();
        let workers = request.body.get("workers").list();
        self.record.note(&format!(
            "the advice service is asked about {step} on {} workers",
            workers.len()
        ));
        lock(&self.asked).push((step, Instant::now()));
        let _turn = lock(&self.turn);
        thread::sleep(Duration::from_millis(
            self.base_ms + (self.each_ms * workers.len() as f64) as u64,
        ));
        let until = unix_ms() + self.valid_ms;
        let eligible: Vec<Json> = workers
            .iter()
            .map(|worker| vec![worker.clone(), format!("t@{until}").into()].into())
            .collect();
        (200, object([("eligible", eligible.into())]))
    }
}
