//! Settings of an instance on the users' platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::document::{Document, Error};
use super::{Server, load_text};

/// The section that only the settings of an instance on the users' platform have.
const SECTION: &str = "cluster";

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
    /// The longest lease that a worker grants.
    pub lease: Duration,
    /// The longest time that the instance may take to stop.
    pub grace: Duration,
    /// The CPU capacity of the instance in thousandths of a core.
    pub millicores: u64,
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
            lease: document.duration(SECTION, "lease", Duration::from_secs(6)),
            grace: document.duration(SECTION, "grace", Duration::from_secs(6)),
            millicores: document.millicores(SECTION, "cores", 1_000),
        };
        for (key, duration) in [("lease", settings.lease), ("grace", settings.grace)] {
            if duration < Duration::from_secs(1) {
                document.conflict(SECTION, key, "give 1s or more");
            }
        }
        if settings.millicores == 0 {
            document.conflict(SECTION, "cores", "give more than zero");
        }
        document.finish()?;
        Ok(Some(settings))
    }
}
