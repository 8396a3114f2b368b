//! The time that decisions see.

use azurepath_decide::time::Time;
use tokio::time::Instant;

/// Gives times since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Makes a clock that begins now.
    pub fn start() -> Clock {
        Clock {
            origin: Instant::now(),
        }
    }

    /// Returns the time now.
    pub fn now(&self) -> Time {
        Time::default().after(self.origin.elapsed())
    }

    /// Returns the instant of a time, or `None` for [`Time::MAX`].
    pub fn instant(&self, time: Time) -> Option<Instant> {
        let since = time.since(Time::default());
        (time != Time::MAX)
            .then(|| self.origin.checked_add(since))
            .flatten()
    }
}
