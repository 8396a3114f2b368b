//! Days on the command line.

use std::str::FromStr;

/// The milliseconds of a day.
const DAY_MS: u64 = 24 * 3_600_000;

/// A day, in UTC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Day {
    /// Milliseconds from the beginning of 1970 to the beginning of the day.
    pub(crate) begin_ms: u64,
}

impl FromStr for Day {
    type Err = String;

    fn from_str(text: &str) -> Result<Day, String> {
        let parts: Option<Vec<u64>> = text.split('-').map(|part| part.parse().ok()).collect();
        let day = match parts.as_deref() {
            Some([year, month, day]) => days(*year, *month, *day),
            _ => None,
        };
        let remedy = || format!("{text:?} is no day; write one like 2026-12-01");
        day.map(|days| Day {
            begin_ms: days * DAY_MS,
        })
        .ok_or_else(remedy)
    }
}

/// Counts the days from the beginning of 1970, in the Gregorian calendar.
fn days(year: u64, month: u64, day: u64) -> Option<u64> {
    let leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    let february = if leap { 29 } else { 28 };
    let lengths = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let index = usize::try_from(month.checked_sub(1)?).ok()?;
    let right = (1970..10_000).contains(&year) && (1..=*lengths.get(index)?).contains(&day);
    let leaps = |year: u64| year / 4 - year / 100 + year / 400;
    let before = (year - 1970) * 365 + leaps(year - 1) - leaps(1969);
    let months: u64 = lengths[..index].iter().sum();
    right.then_some(before + months + day - 1)
}
