//! Settings of a server, read from an INI file and checked before the server starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use azurepath_decide::name::Name;

pub mod cluster;
mod document;
mod unit;

use document::Document;
pub use document::{Error, Fault};
pub(crate) use unit::duration;

/// The smallest usable memory of a process. Without load a process takes about a third of it.
const MIN_MEMORY_BYTES: u64 = 32 << 20;

/// The smallest usable number of file descriptors. Connections to the platform, to peers and to workers
/// may take half of them.
const MIN_DESCRIPTORS: u64 = 256;

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The identity and the addresses of the server.
    pub server: Server,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// Limits of requests.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// The SHA-256 of the first operator's token as hexadecimal digits, if given.
    pub operator: Option<String>,
    /// The recording of events to a trace file, if it is switched on.
    pub trace: Option<Trace>,
}

/// The identity and the addresses of a server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The name of the server, which is unique in the fleet.
    pub name: Name,
    /// The region of the server.
    pub region: Name,
    /// The failure domain of the server.
    pub failure_domain: Name,
    /// The address to listen on for callers and operators; port 0 lets the kernel choose.
    pub http: SocketAddr,
    /// The address to listen on for peers; port 0 lets the kernel choose.
    pub peers: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The address of the table service.
    pub table: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The address of the instance list.
    pub instances: SocketAddr,
}

/// Limits of requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum size of a payload in bytes, for requests and answers.
    pub body: u64,
    /// The default patience: how long a request may wait for its answer.
    pub patience: Duration,
    /// The maximum patience; a longer one is reduced to it.
    pub max_patience: Duration,
    /// The memory that the server may use, in bytes.
    pub memory: u64,
    /// How many file descriptors the server may have open.
    pub descriptors: u64,
}

/// Intervals and timeouts.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long the tasks of a worker keep running without a renewal of its lease.
    pub lease: Duration,
    /// The interval between renewals of a worker's lease.
    pub renewal: Duration,
    /// The interval of the clock ticks that drive the timers of owned racks.
    pub tick: Duration,
    /// The interval between renewals of the server's row in the table.
    pub heartbeat: Duration,
    /// The interval between reads of the instance list.
    pub instances: Duration,
    /// The interval between pings on a connection to another server.
    pub ping: Duration,
    /// How long to wait for the answer to a ping.
    pub ping_timeout: Duration,
    /// How long a stopping server accepts new requests after it has become unready.
    pub linger: Duration,
}

/// The recording of events to a trace file.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The path of the trace file.
    pub file: PathBuf,
    /// The maximum size of the file in bytes; recording ends when it is reached.
    pub max_size: u64,
}

impl Server {
    fn read(document: &mut Document) -> Server {
        Server {
            name: document.name("server", "name"),
            region: document.name("server", "region"),
            failure_domain: document.name("server", "failure_domain"),
            http: document.address("server", "http"),
            peers: document.address("server", "peers"),
        }
    }
}

fn load_text(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|error| Error::Unreadable {
        file: path.display().to_string(),
        detail: error.to_string(),
    })
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] with every fault, each with its line, its key and its remedy.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text = load_text(path)?;
        Settings::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks the text of a settings file; errors name it as `file`.
    ///
    /// # Errors
    ///
    /// See [`Settings::load`].
    pub fn parse(file: &str, text: &str) -> Result<Settings, Error> {
        let mut document = Document::parse(file, text)?;
        let settings = Settings {
            server: Server::read(&mut document),
            platform: Platform {
                table: document.address("platform", "table"),
                objects: document.address("platform", "objects"),
                instances: document.address("platform", "instances"),
            },
            limits: Limits {
                body: document.bytes("limits", "body", 8 << 20),
                patience: document.duration("limits", "patience", Duration::from_secs(30)),
                max_patience: document.duration(
                    "limits",
                    "max_patience",
                    Duration::from_secs(86_400),
                ),
                memory: document.bytes("limits", "memory", 4 << 30),
                descriptors: document.count("limits", "descriptors", 8_192),
            },
            timing: Timing {
                lease: document.duration("timing", "lease", Duration::from_secs(10)),
                renewal: document.duration("timing", "renewal", Duration::from_secs(2)),
                tick: document.duration("timing", "tick", Duration::from_millis(20)),
                heartbeat: document.duration("timing", "heartbeat", Duration::from_secs(1)),
                instances: document.duration("timing", "instances", Duration::from_secs(1)),
                ping: document.duration("timing", "ping", Duration::from_secs(1)),
                ping_timeout: document.duration("timing", "ping_timeout", Duration::from_secs(2)),
                linger: document.duration("timing", "linger", Duration::from_secs(2)),
            },
            operator: document.hash("operator", "hash"),
            trace: document.has_section("trace").then(|| Trace {
                file: document.path("trace", "file"),
                max_size: document.bytes("trace", "max_size", 64 << 20),
            }),
        };
        settings.check_conflicts(&mut document);
        document.finish()?;
        Ok(settings)
    }

    /// Reports values that are out of range or conflict with each other.
    fn check_conflicts(&self, document: &mut Document) {
        let (server, limits, timing) = (&self.server, &self.limits, &self.timing);
        if server.http == server.peers && server.http.port() != 0 {
            document.conflict("server", "peers", "give peers another port than http");
        }
        if limits.patience > limits.max_patience {
            document.conflict("limits", "patience", "give at most max_patience");
        }
        if timing.renewal.saturating_mul(2) > timing.lease {
            document.conflict("timing", "renewal", "give at most half of lease");
        }
        let durations = [
            ("lease", timing.lease),
            ("renewal", timing.renewal),
            ("tick", timing.tick),
            ("heartbeat", timing.heartbeat),
            ("instances", timing.instances),
            ("ping", timing.ping),
            ("ping_timeout", timing.ping_timeout),
        ];
        for (key, duration) in durations {
            if duration.is_zero() {
                document.conflict("timing", key, "give more than zero");
            }
        }
        if limits.memory < MIN_MEMORY_BYTES {
            document.conflict("limits", "memory", "give 32MiB or more");
        }
        if limits.descriptors < MIN_DESCRIPTORS {
            document.conflict("limits", "descriptors", "give 256 or more");
        }
        if limits.body == 0 {
            document.conflict("limits", "body", "give more than zero");
        }
    }
}
