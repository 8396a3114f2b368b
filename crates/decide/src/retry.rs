//! Retry budgets and backoff.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use crate::name::Name;
use crate::time::Time;

/// The highest number of retries that a team can save up.
const BUDGET_BURST: f64 = 20.0;

/// The number of retries that a team gains per second.
const BUDGET_PER_SECOND: f64 = 2.0;

/// The number of retries that a team gains with each request.
const BUDGET_PER_REQUEST: f64 = 0.1;

/// The upper bound of the first pause.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);

/// The upper bound of all pauses.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    tokens: f64,
    burst: f64,
    per_second: f64,
    refilled_at: Time,
}

impl Bucket {
    /// Returns a full bucket that holds `burst` tokens and gains `per_second` tokens per second.
    pub fn new(now: Time, burst: f64, per_second: f64) -> Bucket {
        Bucket {
            tokens: burst,
            burst,
            per_second,
            refilled_at: now,
        }
    }

    /// Takes tokens if there are enough, and returns whether there were.
    pub fn take(&mut self, now: Time, tokens: f64) -> bool {
        self.refill(now);
        let enough = self.tokens >= tokens;
        if enough {
            self.tokens -= tokens;
        }
        enough
    }

    /// Tells whether there are enough tokens.
    pub fn holds(&mut self, now: Time, tokens: f64) -> bool {
        self.refill(now);
        self.tokens >= tokens
    }

    /// Adds tokens, up to the burst.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.per_second;
        self.refilled_at = self.refilled_at.max(now);
        self.add(gained);
    }
}

/// The retry budgets of all teams.
///
/// A budget in proportion to the number of requests, rather than a count of retries per request,
/// bounds the load that retries add when everything fails; see "Handling Overload" in Beyer et al.,
/// "Site Reliability Engineering" (2016).
#[derive(Clone, Debug, Default)]
pub struct Budget {
    teams: BTreeMap<Name, Bucket>,
}

impl Budget {
    /// Credits a team with one request.
    pub fn earn(&mut self, now: Time, team: &Name) {
        self.bucket(now, team).add(BUDGET_PER_REQUEST);
    }

    /// Takes one retry from a team's budget if one is left, and returns whether there was one.
    pub fn spend(&mut self, now: Time, team: &Name) -> bool {
        self.bucket(now, team).take(now, 1.0)
    }

    fn bucket(&mut self, now: Time, team: &Name) -> &mut Bucket {
        let new = || Bucket::new(now, BUDGET_BURST, BUDGET_PER_SECOND);
        self.teams.entry(team.clone()).or_insert_with(new)
    }
}

/// Returns a random pause before the retry after `failures` failures: exponential backoff with full
/// jitter.
///
/// The pause is uniform between zero and an exponentially growing bound; see Brooker, "Exponential
/// Backoff And Jitter" (2015).
pub fn backoff(rng: &mut impl Rng, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let bound = FIRST_BACKOFF * (1 << doublings);
    let bound = bound.min(MAX_BACKOFF);
    rng.random_range(Duration::ZERO..=bound)
}
