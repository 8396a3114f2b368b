//! A small deployment: instances as processes, with the settings of the deploy file's template.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Server, call, host};
use crate::json::{Json, object};
use crate::platform::{Advice, Host, Store, World};
use crate::record::Record;

/// A client account: its name, its key and the processors that it may use, 0 for no limit.
#[derive(Clone, Copy)]
pub struct Tenant {
    pub name: &'static str,
    pub key: &'static str,
    pub cpu: u64,
}

pub const SHOP: Tenant = Tenant {
    name: "shop",
    key: "key-1",
    cpu: 0,
};
pub const GRID: Tenant = Tenant {
    name: "grid",
    key: "key-2",
    cpu: 0,
};

/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(3_000);

pub struct Setting {
    pub program: PathBuf,
    pub directory: PathBuf,
    pub record: Arc<Record>,
    pub trouble: bool,
}

pub struct Instance {
    pub name: String,
    pub http: SocketAddr,
    ready: SocketAddr,
    process: Child,
    /// The file with what it writes.
    output: PathBuf,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub struct Deployment {
    pub store: Arc<Store>,
    pub advice: Arc<Advice>,
    pub workers: Vec<Arc<Host>>,
    pub instances: Vec<Instance>,
    pub world: Arc<World>,
    record: Arc<Record>,
    _servers: [Server; 2],
}

/// Returns free ports for an instance. They lie below those that the system gives out by itself, so
/// that nobody takes them before the instance listens on them.
fn free_ports<const N: usize>(instance: usize) -> Result<[SocketAddr; N], String> {
    const FIRST: usize = 7_420;
    const SPAN: usize = 16;
    let mut ports = [SocketAddr::from((host(), 0)); N];
    for (index, port) in ports.iter_mut().enumerate() {
        let number =
            u16::try_from(FIRST + SPAN * instance + index).map_err(|error| error.to_string())?;
        let listener = TcpListener::bind((host(), number))
            .map_err(|error| format!("port {number}: {error}"))?;
        *port = listener.local_addr().map_err(|error| error.to_string())?;
    }
    Ok(ports)
}

/// A queue of the configuration: its name and what differs between queues.
pub struct Queue {
    pub name: &'static str,
    pub hint: Option<(u64, f64, u64)>,
    pub priority: u64,
    pub stretch: f64,
    pub slo_ms: u64,
}

pub fn configuration(version: u64, queues: &[Queue], tenants: &[Tenant]) -> Json {
    let routes = queues.iter().map(|queue| {
        let Json::Object(mut fields) = object([
            ("name", queue.name.into()),
            ("host", "".into()),
            ("pathPrefix", format!("/{}/", queue.name).into()),
            ("type", "non_idempotent".into()),
            ("timeoutMs", 3_000.into()),
            ("backend", "pool".into()),
            ("priority", queue.priority.into()),
            ("attempts", 3.into()),
            ("stretch", Json::Number(queue.stretch)),
            ("sloMs", queue.slo_ms.into()),
            ("public", false.into()),
        ]) else {
            return Json::Null;
        };
        if let Some((decide, each, validity)) = queue.hint {
            let hint = object([
                ("decideMs", decide.into()),
                ("eachMs", Json::Number(each)),
                ("validityMs", validity.into()),
            ]);
            fields.push(("hint".to_owned(), hint));
        }
        Json::Object(fields)
    });
    let routes: Vec<Json> = routes.collect();
    let tenants = tenants.iter().map(|tenant| {
        let cap = object([
            ("cpu", tenant.cpu.into()),
            ("memMb", 0.into()),
            ("gpus", 0.into()),
        ]);
        object([
            ("name", tenant.name.into()),
            ("apiKeys", vec![tenant.key.into()].into()),
            ("weight", 100.into()),
            ("cap", cap),
        ])
    });
    let tenants: Vec<Json> = tenants.collect();
    let service = object([("name", "pool".into()), ("admissionCheck", false.into())]);
    object([
        ("version", version.into()),
        ("routes", routes.into()),
        ("services", vec![service].into()),
        ("limits", object([])),
        ("tenants", tenants.into()),
    ])
}

impl Deployment {
    /// Starts a store, workers of these kinds and three instances, and waits until all are ready.
    pub fn start(
        setting: &Setting,
        kinds: &[&'static str],
        config: &Json,
        hint: (u64, f64, u64),
    ) -> Result<Deployment, String> {
        Deployment::with_instances(
            setting,
            kinds,
            config,
            hint,
            3,
            "cores = 0.25\nlink = 1000\n",
        )
    }

    /// Starts a store, workers of these kinds and instances of this size, and waits until all are ready.
    pub fn with_instances(
        setting: &Setting,
        kinds: &[&'static str],
        config: &Json,
        hint: (u64, f64, u64),
        count: usize,
        size: &str,
    ) -> Result<Deployment, String> {
        let record = setting.record.clone();
        let (store, store_server) = Store::start();
        store.put("op", "config", Some(config));
        record.note(&format!(
            "the operator writes configuration {}",
            config.get("version")
        ));
        let advice = Arc::new(Advice {
            base_ms: hint.0,
            each_ms: hint.1,
            valid_ms: hint.2,
            turn: Mutex::default(),
            asked: Mutex::default(),
            record: record.clone(),
        });
        let served = advice.clone();
        let advice_server = Server::start(move |request| served.answer(request));
        let world = Arc::new(World::default());
        let hosts = kinds.iter().enumerate();
        let workers = hosts.map(|(number, kind)| {
            Arc::new(Host::start(
                &format!("w{number}"),
                32_000,
                kind,
                &world,
                &record,
            ))
        });
        let workers: Vec<Arc<Host>> = workers.collect();
        for host in &workers {
            store.put("servers", &host.worker.id, Some(&host.entry()));
        }
        let (mut instances, mut pids) = (Vec::new(), String::new());
        for number in 1..=count {
            let name = format!("edge-zrh-a-{number}");
            let [http, peers, ready, metrics] = free_ports::<4>(number)?;
            let settings = format!(
                "[server]\nname = {name}\nregion = ch-north\nfailure_domain = zrh-a\nhttp = {http}\npeers = {peers}\n\n\
                 [cluster]\nready = {ready}\nmetrics = {metrics}\nstore = {}\nrow_bytes = 65536B\nadvice = {}\n\
                 lease = 6000ms\ngang_wait = 3000ms\ngrace = 6s\n{size}",
                store_server.address, advice_server.address
            );
            let path = setting.directory.join(format!("{name}.ini"));
            fs::write(&path, settings).map_err(|error| error.to_string())?;
            let output = setting.directory.join(format!("{name}.out"));
            let log = File::create(&output).map_err(|error| error.to_string())?;
            let errors = log.try_clone().map_err(|error| error.to_string())?;
            let process = Command::new(&setting.program)
                .arg(&path)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(errors)
                .spawn();
            let process =
                process.map_err(|error| format!("{}: {error}", setting.program.display()))?;
            pids += &format!("{}\n", process.id());
            fs::write(setting.directory.join("pids"), &pids).map_err(|error| error.to_string())?;
            instances.push(Instance {
                name,
                http,
                ready,
                process,
                output,
            });
        }
        let mut deployment = Deployment {
            store,
            advice,
            workers,
            instances,
            world,
            record,
            _servers: [store_server, advice_server],
        };
        deployment.wait_ready()?;
        Ok(deployment)
    }

    fn wait_ready(&mut self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        let is_ready = |instance: &Instance| {
            let answer = call(instance.ready, "GET", "/api/readyz", &[], None, PATIENCE);
            answer.is_some_and(|(status, _)| status == 200)
        };
        while !self.instances.iter().all(is_ready) {
            for instance in &mut self.instances {
                if let Ok(Some(status)) = instance.process.try_wait() {
                    let output = fs::read_to_string(&instance.output).unwrap_or_default();
                    let last = output.lines().last().unwrap_or_default();
                    return Err(format!("{} has ended, {status}: {last}", instance.name));
                }
            }
            if Instant::now() > end {
                return Err("the instances are not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Traffic starts 10 s after the machines do.
        thread::sleep(Duration::from_secs(8));
        Ok(())
    }

    /// Makes a client's call to an instance.
    pub fn call(
        &self,
        instance: usize,
        method: &str,
        path: &str,
        body: Option<&Json>,
    ) -> Option<Reply> {
        self.call_as(SHOP, instance, method, path, body)
    }

    pub fn call_as(
        &self,
        tenant: Tenant,
        instance: usize,
        method: &str,
        path: &str,
        body: Option<&Json>,
    ) -> Option<Reply> {
        let instance = &self.instances[instance];
        let answer = call(
            instance.http,
            method,
            path,
            &[("credential", tenant.key), ("timeout-ms", "3000")],
            body,
            PATIENCE,
        );
        let shown = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {body}")
            });
        self.record.note(&format!(
            "{} sends {method} {path} to {}: {shown}",
            tenant.name, instance.name
        ));
        answer
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, path: &str, body: &Json) -> Result<(), String> {
        self.submit_as(SHOP, path, body)
    }

    pub fn submit_as(&self, tenant: Tenant, path: &str, body: &Json) -> Result<(), String> {
        for attempt in 0..5 {
            let answer = self.call_as(
                tenant,
                attempt % self.instances.len(),
                "POST",
                path,
                Some(body),
            );
            if answer.is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(500));
        }
        Err(format!("{path} was not accepted"))
    }

    /// Returns the workers on which tasks of a job run.
    pub fn workers_of(&self, job: &str) -> Vec<usize> {
        let runs = |host: &Host| {
            host.worker
                .running()
                .iter()
                .any(|task| task.starts_with(job))
        };
        let hosts = self.workers.iter().enumerate();
        hosts
            .filter(|(_, host)| runs(host))
            .map(|(index, _)| index)
            .collect()
    }

    /// Tells whether any task of a job has begun.
    pub fn has_begun(&self, job: &str) -> bool {
        let runs = self.world.runs.lock().expect("no thread has panicked");
        runs.iter().any(|run| run.task.starts_with(job))
    }

    /// Returns how many tasks of a job run.
    pub fn running(&self, job: &str) -> usize {
        let tasks = self.workers.iter().flat_map(|host| host.worker.running());
        tasks.filter(|task| task.starts_with(job)).count()
    }

    /// Waits until as many tasks of a job run.
    pub fn wait_running(&self, job: &str, count: usize, patience: Duration) -> Result<(), String> {
        let end = Instant::now() + patience;
        while self.running(job) != count {
            if Instant::now() > end {
                return Err(format!(
                    "{} tasks of {job} run, not {count}",
                    self.running(job)
                ));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Watches a job for `finish_s` and 4 s more. Returns whether anything of it ran, and its state.
    pub fn watch(&self, tenant: Tenant, path: &str, job: &str) -> (bool, String) {
        let asked_from = Instant::now() + Duration::from_secs(14);
        let (mut begun, mut state) = (false, String::new());
        for _ in 0..5 {
            while !begun && Instant::now() < asked_from {
                begun |= self.running(job) > 0;
                thread::sleep(Duration::from_millis(20));
            }
            if let Some((200, body)) = self.call_as(tenant, 1, "GET", path, None) {
                state = body.get("state").text().to_owned();
            }
            thread::sleep(Duration::from_secs(1));
            begun |= self.running(job) > 0;
        }
        (begun, state)
    }
}
