//! Test environment: stand-ins in the test process, and servers as separate processes.

#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod cluster;

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use azurepath_decide::class::Class;
use azurepath_decide::config::{Condition, Proposal};
use azurepath_decide::resource::{Key, Queue, Resource, Team};
use azurepath_decide::size::Size;
use azurepath_server::version::store;
use azurepath_services::table::Client as Table;
use azurepath_standin::fleet::{Fleet, Rack};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use serde_json::Value;
use sha2::{Digest, Sha256};
use volo_http::client::ClientBuilder;

/// The key of the team `audit`, as callers send it.
pub const AUDIT: &str = "audit-1.abcdefghijklmnop";

/// The key of the team `ice`, as callers send it.
pub const ICE: &str = "ice-1.qrstuvwxyzabcdef";

/// How long a test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

/// The pause between two checks of a condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The stand-ins and the directory of the servers' settings files.
pub struct TestEnv {
    /// The platform and the workers.
    pub fleet: Fleet,
    directory: PathBuf,
}

/// A server that runs as a separate process.
pub struct Process {
    child: Child,
    log: Arc<Mutex<Vec<Value>>>,
    readers: Vec<JoinHandle<()>>,
    /// The address for callers.
    pub http: SocketAddr,
    /// The address for other servers.
    pub peers: SocketAddr,
}

/// An HTTP answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl TestEnv {
    /// Starts the stand-ins of both owners and writes teams, keys and queues.
    pub async fn start() -> Result<TestEnv> {
        TestEnv::with_racks(&Rack::both_owners()).await
    }

    /// Starts the stand-ins of some racks and writes teams, keys and queues.
    pub async fn with_racks(racks: &[Rack]) -> Result<TestEnv> {
        let fleet = Fleet::start(racks)?;
        let name = format!(
            "azurepath-test-{}-{}",
            std::process::id(),
            fleet.address().port()
        );
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        let env = TestEnv { fleet, directory };
        env.write(&resources()).await?;
        Ok(env)
    }

    /// Writes resources directly into the table.
    pub async fn write(&self, resources: &[Resource]) -> Result<()> {
        let table = Table::new(self.fleet.address());
        for (index, resource) in resources.iter().enumerate() {
            let proposal = Proposal {
                write: format!("seed-{index}").into(),
                kind: resource.kind(),
                name: resource.name().clone(),
                resource: Some(resource.clone()),
                condition: Condition::Any,
            };
            store::edit(&table, proposal).await?;
        }
        Ok(())
    }

    /// Returns the settings of a server; `more` is appended.
    pub fn settings(&self, name: &str, domain: &str, region: &str, more: &str) -> String {
        let platform = self.fleet.address();
        format!(
            "[server]\nname = {name}\nregion = {region}\nfailure_domain = {domain}\n\
             http = 127.0.0.1:0\npeers = 127.0.0.1:0\n\n\
             [platform]\ntable = {platform}\nobjects = {platform}\ninstances = {platform}\n\n{more}"
        )
    }

    /// Starts a server process in a failure domain and waits until it listens.
    pub async fn server(&self, name: &str, domain: &str, region: &str) -> Result<Process> {
        self.server_with(
            name,
            domain,
            region,
            "[timing]\nlinger = 100ms\ninstances = 100ms\nheartbeat = 100ms\n",
        )
        .await
    }

    /// Starts a server process with more settings.
    pub async fn server_with(
        &self,
        name: &str,
        domain: &str,
        region: &str,
        more: &str,
    ) -> Result<Process> {
        self.server_from(name, &self.settings(name, domain, region, more))
            .await
    }

    /// Starts a server process with complete settings.
    pub async fn server_from(&self, name: &str, settings: &str) -> Result<Process> {
        let path = self.directory.join(format!("{name}.ini"));
        std::fs::write(&path, settings)?;
        Process::start(&path).await
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        // A directory that is left behind does not affect later tests.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Collects the log lines of a stream until it ends.
fn collect(stream: impl Read + Send + 'static, log: &Arc<Mutex<Vec<Value>>>) -> JoinHandle<()> {
    let lines = log.clone();
    std::thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let event = serde_json::from_str(&line).unwrap_or(Value::String(line));
            lines.lock().expect("the lock is not poisoned").push(event);
        }
    })
}

impl Process {
    /// Starts a server process with a settings file and waits until it listens.
    pub async fn start(settings: &std::path::Path) -> Result<Process> {
        let mut child = Command::new(env!("CARGO_BIN_EXE_azurepath"))
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let stdout = child.stdout.take().context("no standard output stream")?;
        let stderr = child.stderr.take().context("no standard error stream")?;
        let readers = vec![collect(stdout, &log), collect(stderr, &log)];
        let mut process = Process {
            child,
            log,
            readers,
            http: SocketAddr::from(([127, 0, 0, 1], 0)),
            peers: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let event = loop {
            if let Some(event) = process.logged("listening") {
                break event;
            }
            if let Some(status) = process.child.try_wait()? {
                return Err(anyhow!(
                    "the server exited with {status}: {:?}",
                    process.log()
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        let address = |key: &str| event[key].as_str().unwrap_or_default().parse();
        process.http = address("http")?;
        process.peers = address("peers")?;
        Ok(process)
    }

    /// Returns all log lines so far.
    pub fn log(&self) -> Vec<Value> {
        self.log.lock().expect("the lock is not poisoned").clone()
    }

    /// Returns the first log line with a message.
    pub fn logged(&self, message: &str) -> Option<Value> {
        self.log().into_iter().find(|event| event["msg"] == message)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) -> Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status()?;
        status.success().then_some(()).context("the signal failed")
    }

    /// Tells whether the process has not ended.
    pub fn is_running(&mut self) -> Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Waits until the process has exited.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Asks the process to stop and waits until it has exited.
    pub async fn stop(&mut self) -> Result<ExitStatus> {
        self.signal("TERM")?;
        self.wait().await
    }

    /// Returns the dump of the process.
    pub async fn dump(&self) -> Result<Value> {
        Ok(get(self.http, "/dump").await?.json())
    }

    /// Waits until the server has a configuration and knows racks.
    pub async fn ready(&self) -> Result<()> {
        loop {
            let dump = self.dump().await?;
            let has_configuration = dump["revision"].as_u64() > Some(0);
            let has_racks = dump["view"]["racks"]
                .as_object()
                .is_some_and(|racks| !racks.is_empty());
            if has_configuration && has_racks {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Submits a request to a queue.
    pub async fn submit(
        &self,
        queue: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Result<Answer> {
        post(
            self.http,
            &format!("/v1/queues/{queue}/requests"),
            body,
            headers,
        )
        .await
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        for reader in self.readers.drain(..) {
            let _ = reader.join();
        }
    }
}

/// Sends a GET request on a new connection.
pub async fn get(address: SocketAddr, path: &str) -> Result<Answer> {
    call(address, http::Method::GET, path, "", &[]).await
}

/// Sends a POST request on a new connection.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> Result<Answer> {
    call(address, http::Method::POST, path, body, headers).await
}

/// Sends a request on a new connection.
pub async fn call(
    address: SocketAddr,
    method: http::Method,
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> Result<Answer> {
    let client = ClientBuilder::new().build()?;
    let uri = format!("http://{address}{path}");
    let mut request = client.request(method, uri).data(body.to_owned());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = request.send().await?;
    let (parts, body) = response.into_parts();
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: body
            .collect()
            .await
            .map_err(|error| anyhow!("{error}"))?
            .to_bytes(),
    })
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold in time.
pub async fn until(mut condition: impl AsyncFnMut() -> bool) {
    let started_at = tokio::time::Instant::now();
    while !condition().await {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "the condition does not hold after {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn key(token: &str, team: &str) -> Resource {
    let name = token.split('.').next().unwrap_or_default();
    let digest = Sha256::digest(token.as_bytes());
    Resource::Key(Key {
        name: name.into(),
        team: Some(team.into()),
        hash: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
        withdrawn: false,
    })
}

fn queue(name: &str, class: Class, idempotent: bool, open_to: Option<&str>) -> Resource {
    Resource::Queue(Queue {
        name: name.into(),
        open_to: open_to.map(Into::into),
        class,
        size: Size {
            millicores: 1_000,
            memory_mib: 256,
            accelerators: 0,
            slots: 1,
        },
        estimate_ms: 20,
        idempotent,
    })
}

/// Returns two teams, their keys, and five queues: `pairing` (urgent), `audits` (batch), `sweep`
/// (batch, non-idempotent), `order` (urgent, non-idempotent) and `open` (no key needed).
pub fn resources() -> Vec<Resource> {
    let limit = Size {
        millicores: 200_000,
        memory_mib: 400_000,
        accelerators: 16,
        slots: 64,
    };
    let team = |name: &str, account: &str| {
        Resource::Team(Team {
            name: name.into(),
            account: account.into(),
            share: 1,
            limit,
        })
    };
    vec![
        team("audit", "lumenbruecke"),
        team("ice", "barafu-pwani"),
        key(AUDIT, "audit"),
        key(ICE, "ice"),
        queue("pairing", Class::Urgent, true, None),
        queue("audits", Class::Batch, true, None),
        queue("sweep", Class::Batch, false, None),
        queue("order", Class::Urgent, false, None),
        queue("open", Class::Urgent, true, Some("audit")),
    ]
}
