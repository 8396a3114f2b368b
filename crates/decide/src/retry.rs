//! Budgets and pauses of retries.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use crate::name::Name;
use crate::time::Time;

/// Retries that a team may save up.
const BUDGET_BURST: f64 = 20.0;

/// Retries that a team gains per second.
const BUDGET_PER_SECOND: f64 = 2.0;

/// Retries that a team gains with each request.
const BUDGET_PER_REQUEST: f64 = 0.1;

/// The bound of the first pause.
const FIRST_PAUSE: Duration = Duration::from_millis(10);

/// The bound of every pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    tokens: f64,
    burst: f64,
    per_second: f64,
    filled: Time,
}

impl Bucket {
    /// Makes a full bucket that holds `burst` tokens and gains `per_second`.
    pub fn new(now: Time, burst: f64, per_second: f64) -> Bucket {
        Bucket {
            tokens: burst,
            burst,
            per_second,
            filled: now,
        }
    }

    /// Takes tokens if there are enough of them.
    pub fn take(&mut self, now: Time, tokens: f64) -> bool {
        self.fill(now);
        let enough = self.tokens >= tokens;
        if enough {
            self.tokens -= tokens;
        }
        enough
    }

    /// Tells whether there are enough tokens.
    pub fn holds(&mut self, now: Time, tokens: f64) -> bool {
        self.fill(now);
        self.tokens >= tokens
    }

    /// Adds tokens, up to the burst.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    fn fill(&mut self, now: Time) {
        let gained = now.since(self.filled).as_secs_f64() * self.per_second;
        self.filled = self.filled.max(now);
        self.add(gained);
    }
}

/// The retry budgets of all teams.
///
/// A share of the requests rather than a count per request bounds the load that retries add when
/// everything fails; see "Handling Overload" in Beyer et al., "Site Reliability Engineering" (2016).
#[derive(Clone, Debug, Default)]
pub struct Budget {
    teams: BTreeMap<Name, Bucket>,
}

impl Budget {
    /// Credits a team with one request.
    pub fn earn(&mut self, now: Time, team: &Name) {
        self.bucket(now, team).add(BUDGET_PER_REQUEST);
    }

    /// Takes one retry from a team's budget if one is left.
    pub fn spend(&mut self, now: Time, team: &Name) -> bool {
        self.bucket(now, team).take(now, 1.0)
    }

    fn bucket(&mut self, now: Time, team: &Name) -> &mut Bucket {
        let new = || Bucket::new(now, BUDGET_BURST, BUDGET_PER_SECOND);
        self.teams.entry(team.clone()).or_insert_with(new)
    }
}

/// Draws the pause before the retry after `failures` failures, with full jitter.
///
/// The draw is uniform up to an exponentially growing bound; see Brooker, "Exponential Backoff And
/// Jitter" (2015).
pub fn backoff(rng: &mut impl Rng, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let bound = FIRST_PAUSE * (1 << doublings);
    let bound = bound.min(LONGEST_PAUSE);
    rng.random_range(Duration::ZERO..=bound)
}
