//! Dates on the command line.

use std::str::FromStr;

/// The length of a day in milliseconds.
const DAY_MS: u64 = 24 * 3_600_000;

/// A day, in UTC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Day {
    /// The beginning of the day in milliseconds since 1970.
    pub(crate) begin_ms: u64,
}

impl FromStr for Day {
    type Err = String;

    fn from_str(text: &str) -> Result<Day, String> {
        let parts: Option<Vec<u64>> = text.split('-').map(|part| part.parse().ok()).collect();
        let day = match parts.as_deref() {
            Some([year, month, day]) => days_since_epoch(*year, *month, *day),
            _ => None,
        };
        let error = || format!("{text:?} is not a valid date; write a date such as 2026-12-01");
        day.map(|days| Day {
            begin_ms: days * DAY_MS,
        })
        .ok_or_else(error)
    }
}

/// Returns the number of days since 1970-01-01 in the Gregorian calendar, or `None` for an invalid
/// date.
fn days_since_epoch(year: u64, month: u64, day: u64) -> Option<u64> {
    let leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    let february = if leap { 29 } else { 28 };
    let lengths = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let index = usize::try_from(month.checked_sub(1)?).ok()?;
    let valid = (1970..10_000).contains(&year) && (1..=*lengths.get(index)?).contains(&day);
    let leaps = |year: u64| year / 4 - year / 100 + year / 400;
    let before_year = (year - 1970) * 365 + leaps(year - 1) - leaps(1969);
    let before_month: u64 = lengths[..index].iter().sum();
    valid.then_some(before_year + before_month + day - 1)
}
