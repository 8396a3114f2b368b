//! The settings of a server, read from an INI file and checked before anything starts.

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

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who the server is and where it listens.
    pub server: Server,
    /// Where the platform is.
    pub platform: Platform,
    /// What a caller may ask for.
    pub limits: Limits,
    /// How often things happen.
    pub timing: Timing,
    /// The SHA-256 of the first operator's token as hexadecimal digits, if there is one.
    pub operator: Option<String>,
    /// The recorder of events, if it is on.
    pub trace: Option<Trace>,
}

/// Who the server is and where it listens.
#[derive(Clone, Debug)]
pub struct Server {
    /// The server's name, unique in the fleet.
    pub name: Name,
    /// Its region.
    pub region: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Where callers and operators are listened to; port 0 lets the kernel choose.
    pub http: SocketAddr,
    /// Where peers are listened to; port 0 lets the kernel choose.
    pub peers: SocketAddr,
}

/// Where the platform is.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The instance list.
    pub instances: SocketAddr,
}

/// What a caller may ask for.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest payload in bytes, of requests and of answers.
    pub body: u64,
    /// The patience of a request that names none.
    pub patience: Duration,
    /// The longest patience that is taken.
    pub max_patience: Duration,
}

/// How often things happen, and how long they may take.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a worker's tasks run on without a renewal.
    pub lease: Duration,
    /// How often a worker's lease is renewed.
    pub renewal: Duration,
    /// How often the owner's machine is told the time.
    pub tick: Duration,
    /// How often the server's row in the table is renewed.
    pub heartbeat: Duration,
    /// How often the instance list is read.
    pub instances: Duration,
    /// How often a connection between servers is pinged.
    pub ping: Duration,
    /// How long a ping may stay unanswered.
    pub ping_timeout: Duration,
    /// How long a server that stops still takes new requests after it has turned unready.
    pub linger: Duration,
}

/// The recorder of events.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The file that is written.
    pub file: PathBuf,
    /// Its largest size in bytes; recording ends there.
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

    /// Checks the text of a settings file; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// As for [`Settings::load`].
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
            trace: document.present("trace").then(|| Trace {
                file: document.path("trace", "file"),
                max_size: document.bytes("trace", "max_size", 64 << 20),
            }),
        };
        settings.clashes(&mut document);
        document.finish()?;
        Ok(settings)
    }

    /// Notes values that are each right but do not go together.
    fn clashes(&self, document: &mut Document) {
        let (server, limits, timing) = (&self.server, &self.limits, &self.timing);
        if server.http == server.peers && server.http.port() != 0 {
            document.clash("server", "peers", "give peers another port than http");
        }
        if limits.patience > limits.max_patience {
            document.clash("limits", "patience", "give at most max_patience");
        }
        if timing.renewal.saturating_mul(2) > timing.lease {
            document.clash("timing", "renewal", "give at most half of lease");
        }
        let spans = [
            ("lease", timing.lease),
            ("renewal", timing.renewal),
            ("tick", timing.tick),
            ("heartbeat", timing.heartbeat),
            ("instances", timing.instances),
            ("ping", timing.ping),
            ("ping_timeout", timing.ping_timeout),
        ];
        for (key, span) in spans {
            if span.is_zero() {
                document.clash("timing", key, "give more than zero");
            }
        }
        if limits.body == 0 {
            document.clash("limits", "body", "give more than zero");
        }
    }
}
