//! Parsing of values with units.

use std::time::Duration;

/// Parses a duration such as `250ms`, `30s`, `5m` or `2h`.
pub(crate) fn duration(text: &str) -> Option<Duration> {
    let (number, unit) = split(text)?;
    let millis = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number.checked_mul(millis).map(Duration::from_millis)
}

/// Parses a number of bytes such as `512`, `64KiB`, `8MiB` or `1GiB`.
pub(super) fn bytes(text: &str) -> Option<u64> {
    let (number, unit) = split(text)?;
    let factor = match unit {
        "" | "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        _ => return None,
    };
    number.checked_mul(factor)
}

/// Splits a value into its number and its unit.
fn split(text: &str) -> Option<(u64, &str)> {
    let end = text
        .find(|letter: char| !letter.is_ascii_digit())
        .unwrap_or(text.len());
    let number = text[..end].parse().ok()?;
    Some((number, text[end..].trim_start()))
}
