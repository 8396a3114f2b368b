//! Settings of an instance on the users' platform.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::signal::unix::Signal;

use super::document::{Document, Error};
use super::{MIN_DESCRIPTORS, MIN_MEMORY_BYTES, Server, load_text};

/// The section that only the settings of an instance on the users' platform have.
const SECTION: &str = "cluster";

/// The smallest usable limit of a row's value. Jobs with long steps fill about half of it.
const MIN_ROW_BYTES: u64 = 16_384;

/// Where changed settings come from.
#[derive(Debug)]
pub struct Source {
    /// The settings file.
    pub path: PathBuf,
    /// The signals that the file has changed.
    pub hangups: Signal,
}

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The identity and the addresses of the instance.
    pub server: Server,
    /// The address to listen on for the readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// The address to listen on for reads of the metrics and the dump.
    pub metrics: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the advice service, if there is one.
    pub advice: Option<SocketAddr>,
    /// The length of the longest value that a row of the store may have, in bytes.
    pub row_bytes: u64,
    /// The longest lease that a worker grants.
    pub lease: Duration,
    /// How long a started member of a gang waits for the others before it ends.
    pub gang_wait: Duration,
    /// The longest time that the instance may take to stop.
    pub grace: Duration,
    /// The CPU capacity of the instance in thousandths of a core.
    pub millicores: u64,
    /// The speed of the instance's network link in kbit/s.
    pub link_kbps: u64,
    /// The memory that the instance may use, in bytes.
    pub memory_bytes: u64,
    /// How many file descriptors the instance may have open.
    pub descriptors: u64,
    /// The factor on the run time of tasks that run outside the rack with their data, or on several
    /// racks where one is wanted; without it, nothing waits for such a rack.
    pub remote_slowdown: Option<f64>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// Returns `None` if the file has no section `[cluster]`. It then holds the settings of a
    /// server that keeps its state in the table service.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] with every fault, each with its line, its key and its remedy.
    pub fn load(path: &Path) -> Result<Option<Settings>, Error> {
        let text = load_text(path)?;
        Settings::parse(&path.display().to_string(), &text)
    }

    /// Tells whether the addresses, names or bounds differ, which are used from the start to the end of
    /// a process.
    pub fn needs_restart(&self, other: &Settings) -> bool {
        let fixed = |settings: &Settings| {
            let server = &settings.server;
            (
                (server.name.clone(), server.region.clone()),
                (server.failure_domain.clone(), server.http, server.peers),
                (settings.ready, settings.metrics),
                (settings.store, settings.advice),
                (settings.memory_bytes, settings.descriptors),
            )
        };
        fixed(self) != fixed(other)
    }

    /// Parses and checks the text of a settings file; errors name it as `file`.
    ///
    /// # Errors
    ///
    /// See [`Settings::load`].
    pub fn parse(file: &str, text: &str) -> Result<Option<Settings>, Error> {
        let mut document = Document::parse(file, text)?;
        if !document.has_section(SECTION) {
            return Ok(None);
        }
        let settings = Settings {
            server: Server::read(&mut document),
            ready: document.address(SECTION, "ready"),
            metrics: document.address(SECTION, "metrics"),
            store: document.address(SECTION, "store"),
            advice: document
                .has_key(SECTION, "advice")
                .then(|| document.address(SECTION, "advice")),
            row_bytes: document.bytes(SECTION, "row_bytes", 65_536),
            lease: document.duration(SECTION, "lease", Duration::from_secs(6)),
            gang_wait: document.duration(SECTION, "gang_wait", Duration::from_secs(3)),
            grace: document.duration(SECTION, "grace", Duration::from_secs(6)),
            millicores: document.millicores(SECTION, "cores", 1_000),
            link_kbps: document.megabits(SECTION, "link", 1_000_000),
            memory_bytes: document.bytes(SECTION, "memory", 512 << 20),
            descriptors: document.count(SECTION, "descriptors", 8_192),
            remote_slowdown: document.factor(SECTION, "remote_slowdown"),
        };
        for (key, duration) in [
            ("lease", settings.lease),
            ("gang_wait", settings.gang_wait),
            ("grace", settings.grace),
        ] {
            if duration < Duration::from_secs(1) {
                document.conflict(SECTION, key, "give 1s or more");
            }
        }
        if settings.row_bytes < MIN_ROW_BYTES {
            document.conflict(SECTION, "row_bytes", "give 16384 or more");
        }
        if settings.memory_bytes < MIN_MEMORY_BYTES {
            document.conflict(SECTION, "memory", "give 32MiB or more");
        }
        if settings.descriptors < MIN_DESCRIPTORS {
            document.conflict(SECTION, "descriptors", "give 256 or more");
        }
        for (key, value) in [("cores", settings.millicores), ("link", settings.link_kbps)] {
            if value == 0 {
                document.conflict(SECTION, key, "give more than zero");
            }
        }
        document.finish()?;
        Ok(Some(settings))
    }
}
