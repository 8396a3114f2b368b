//! The settings of an instance on the users' platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::document::{Document, Error};
use super::{Server, load_text};

/// The section that makes the difference.
const SECTION: &str = "cluster";

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who the instance is and where it listens.
    pub server: Server,
    /// Where the balancer asks whether the instance is ready.
    pub ready: SocketAddr,
    /// Where metrics and the dump are read.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The advice service, where there is one.
    pub advice: Option<SocketAddr>,
    /// The longest lease that a worker grants.
    pub lease: Duration,
    /// How long the instance may take to stop.
    pub grace: Duration,
    /// The thousandths of a core that the instance has.
    pub millicores: u64,
}

impl Settings {
    /// Reads and checks a settings file; `None` where it is one of a server on its own table.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] with every fault, each with its line, its key and its remedy.
    pub fn load(path: &Path) -> Result<Option<Settings>, Error> {
        let text = load_text(path)?;
        Settings::parse(&path.display().to_string(), &text)
    }

    /// Checks the text of a settings file; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// As for [`Settings::load`].
    pub fn parse(file: &str, text: &str) -> Result<Option<Settings>, Error> {
        let mut document = Document::parse(file, text)?;
        if !document.present(SECTION) {
            return Ok(None);
        }
        let settings = Settings {
            server: Server::read(&mut document),
            ready: document.address(SECTION, "ready"),
            metrics: document.address(SECTION, "metrics"),
            store: document.address(SECTION, "store"),
            advice: document
                .has(SECTION, "advice")
                .then(|| document.address(SECTION, "advice")),
            lease: document.duration(SECTION, "lease", Duration::from_secs(6)),
            grace: document.duration(SECTION, "grace", Duration::from_secs(6)),
            millicores: document.millicores(SECTION, "cores", 1_000),
        };
        for (key, span) in [("lease", settings.lease), ("grace", settings.grace)] {
            if span < Duration::from_secs(1) {
                document.clash(SECTION, key, "give 1s or more");
            }
        }
        if settings.millicores == 0 {
            document.clash(SECTION, "cores", "give more than zero");
        }
        document.finish()?;
        Ok(Some(settings))
    }
}
