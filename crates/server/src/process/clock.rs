//! The clock whose times are passed to the state machines.

use azurepath_decide::time::Time;
use tokio::time::Instant;

/// Measures the time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Makes a clock whose time zero is now.
    pub fn start() -> Clock {
        Clock {
            origin: Instant::now(),
        }
    }

    /// Returns the time now.
    pub fn now(&self) -> Time {
        Time::default().after(self.origin.elapsed())
    }

    /// Returns the instant of a time, or `None` for [`Time::MAX`] or on overflow.
    pub fn instant(&self, time: Time) -> Option<Instant> {
        let since = time.since(Time::default());
        (time != Time::MAX)
            .then(|| self.origin.checked_add(since))
            .flatten()
    }
}
