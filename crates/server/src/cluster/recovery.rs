//! Reads the state that earlier leaders have stored, while the leadership is kept by heartbeats.
//!
//! How long this takes depends on the stored rows and on the instance's link. So no page is large
//! for the link, a page without an answer is asked for again alone, and nothing that has arrived is
//! read twice. No other instance can write meanwhile, so the pages belong together.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use azurepath_decide::batch::record::Stored;
use azurepath_decide::time::Time;
use azurepath_platform::store::{
    EVACUATION_END, EVACUATION_PREFIX, Error, OPERATOR_TABLE, PAGE_ROWS, Row,
};
use futures::{StreamExt, stream};
use slog::{Logger, info, warn};
use tokio_util::sync::CancellationToken;

use super::evacuation::Evacuation;
use super::leader::{EndReason, HEARTBEAT_INTERVAL};
use super::writer::{self, JOBS, Outcome, PROGRESS, ROSTER, Writer};
use super::{Context, clock};
use crate::process::backoff;

/// How long the pages that are asked for at the same time keep the link busy.
const WINDOW: Duration = Duration::from_millis(100);

/// The length of a usual row in the answer to a read, in bytes.
const ROW_BYTES: u64 = 1_500;

/// The least number of pages that are asked for at the same time.
const MIN_READS: u64 = 2;

/// The rows of a page from which on more pages are read at the same time.
const ROWS_PER_READ: u64 = 10;

/// How long the answer with a page may take.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest pause after a failed read.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long no page may arrive before another instance should try.
const STALL_TIMEOUT: Duration = Duration::from_secs(6);

/// How many pages are read at the same time, and their rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Paging {
    reads: usize,
    rows: usize,
}

impl Paging {
    fn new(link_kbps: u64, ranges: usize) -> Paging {
        let millis = u64::try_from(WINDOW.as_millis()).unwrap_or(u64::MAX);
        let rows = link_kbps.saturating_mul(millis) / 8 / ROW_BYTES;
        let reads = (rows / ROWS_PER_READ).clamp(MIN_READS, ranges as u64);
        let rows = (rows / reads).clamp(1, PAGE_ROWS as u64);
        Paging {
            reads: reads as usize,
            rows: rows as usize,
        }
    }
}

/// A part of a table: the keys that begin with a digit, or all.
#[derive(Clone, Debug)]
struct Range {
    table: &'static str,
    from: String,
    end: Option<String>,
}

impl Range {
    fn all(table: &'static str) -> Range {
        Range {
            table,
            from: String::new(),
            end: None,
        }
    }

    /// The rows with evacuations.
    fn evacuations() -> Range {
        Range {
            table: OPERATOR_TABLE,
            from: EVACUATION_PREFIX.to_owned(),
            end: Some(EVACUATION_END.to_owned()),
        }
    }

    /// Splits a table whose keys begin with hexadecimal digits.
    fn by_digit(table: &'static str) -> impl Iterator<Item = Range> {
        (0..16).map(move |digit| Range {
            table,
            from: format!("{digit:x}"),
            end: (digit < 15).then(|| format!("{:x}", digit + 1)),
        })
    }
}

/// All rows of a range.
struct Content {
    table: &'static str,
    rows: Vec<Row>,
    /// The version of the store when the first page was read.
    version: u64,
}

/// What a new leader has read.
pub(super) struct Recovered {
    /// What earlier leaders have stored.
    pub(super) stored: Stored,
    /// The evacuated failure domains.
    pub(super) evacuation: Evacuation,
}

/// Reads what earlier leaders have stored.
pub(super) struct Recovery<'a> {
    context: &'a Context,
    /// When a page last arrived.
    arrived: AtomicU64,
}

impl Recovery<'_> {
    /// Creates a recovery that begins now.
    pub(super) fn new(context: &Context) -> Recovery<'_> {
        Recovery {
            context,
            arrived: AtomicU64::new(clock::now().0),
        }
    }

    /// Reads the stored state and announces that this instance takes calls. Returns the state and
    /// when the announcement was sent, or why this instance does not lead.
    pub(super) async fn run(
        &self,
        writer: &mut Writer,
        leaving: &CancellationToken,
    ) -> Result<(Recovered, Time), EndReason> {
        let recovered = tokio::select! {
            recovered = self.read() => recovered,
            () = send_heartbeats(writer) => return Err(EndReason::Deposed),
            () = self.stalled() => return Err(EndReason::Stalled),
            () = leaving.cancelled() => return Err(EndReason::Released),
        };
        writer.begin_leading();
        tokio::select! {
            written = writer.heartbeat() => match written {
                Outcome::Stored(sent) => Ok((recovered, sent)),
                Outcome::Deposed | Outcome::Rejected => Err(EndReason::Deposed),
            },
            () = leaving.cancelled() => Err(EndReason::Released),
        }
    }

    async fn read(&self) -> Recovered {
        let begun = clock::now();
        let ranges: Vec<Range> = std::iter::once(Range::all(ROSTER))
            .chain(std::iter::once(Range::evacuations()))
            .chain(Range::by_digit(JOBS))
            .chain(Range::by_digit(PROGRESS))
            .collect();
        let paging = Paging::new(self.context.settings().link_kbps, ranges.len());
        let reads = ranges
            .into_iter()
            .map(|range| self.range(range, paging.rows));
        let contents: Vec<Content> = stream::iter(reads)
            .buffer_unordered(paging.reads)
            .collect()
            .await;
        let of = |name| {
            let contents = contents.iter().filter(move |content| content.table == name);
            contents.flat_map(|content| &content.rows)
        };
        let log = &self.context.log;
        let stored = Stored {
            jobs: decode(log, of(JOBS), writer::decode_job),
            blocks: decode(log, of(PROGRESS), writer::decode_block),
            roster: decode(log, of(ROSTER), writer::decode_worker),
        };
        info!(log, "stored jobs read"; "jobs" => stored.jobs.len(), "blocks" => stored.blocks.len(),
            "workers" => stored.roster.len(), "bytes" => value_bytes(&contents),
            "micros" => clock::now().since(begun).as_micros() as u64);
        // The instance's own feed may lag behind the store.
        let evacuations = contents
            .iter()
            .find(|content| content.table == OPERATOR_TABLE);
        Recovered {
            stored,
            evacuation: evacuations.map_or_else(Evacuation::default, |content| {
                Evacuation::new(&content.rows, content.version)
            }),
        }
    }

    /// Reads all rows of a range, page by page, and a page again until it arrives.
    async fn range(&self, range: Range, page_rows: usize) -> Content {
        let Range {
            table,
            mut from,
            end,
        } = range;
        let mut rows = Vec::new();
        let mut version = None;
        let mut limit = page_rows;
        let mut failures = 0;
        loop {
            let store = &self.context.store;
            let page = store.read_range(table, &from, end.as_deref(), limit, PAGE_TIMEOUT);
            match page.await {
                Ok(page) => {
                    failures = 0;
                    limit = (limit * 2).min(page_rows);
                    self.arrived.store(clock::now().0, Ordering::Relaxed);
                    let version = *version.get_or_insert(page.version);
                    from = page.next_key().unwrap_or(from);
                    let more = page.more && !page.rows.is_empty();
                    rows.extend(page.rows);
                    if !more {
                        return Content {
                            table,
                            rows,
                            version,
                        };
                    }
                }
                Err(error) => {
                    if failures == 0 {
                        warn!(self.context.log, "stored jobs can't be read";
                            "table" => table, "rows" => rows.len(), "limit" => limit, "error" => %error);
                    }
                    failures += 1;
                    if matches!(error, Error::Lost(_)) {
                        limit = (limit / 2).max(1);
                    }
                    backoff::pause_within(failures, MAX_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Waits until no page has arrived for too long.
    async fn stalled(&self) {
        loop {
            let arrived = Time(self.arrived.load(Ordering::Relaxed));
            let left = STALL_TIMEOUT.saturating_sub(clock::now().since(arrived));
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }
}

/// Sends heartbeats until another instance leads.
async fn send_heartbeats(writer: &mut Writer) {
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        match writer.heartbeat().await {
            Outcome::Stored(_) => {}
            Outcome::Deposed | Outcome::Rejected => return,
        }
    }
}

/// Decodes rows and skips those that can't be read.
fn decode<'a, T>(
    log: &Logger,
    rows: impl Iterator<Item = &'a Row>,
    decode: impl Fn(&Row) -> Result<T, String>,
) -> Vec<T> {
    let decode = |row| {
        let decoded = decode(row);
        let unreadable = |error: &String| {
            warn!(log, "a stored row can't be read";
                "row" => &row.key, "row_version" => row.version, "error" => error);
        };
        decoded.inspect_err(unreadable).ok()
    };
    rows.filter_map(decode).collect()
}

fn value_bytes(contents: &[Content]) -> usize {
    let rows = contents.iter().flat_map(|content| &content.rows);
    rows.map(|row| row.value.as_ref().map_or(0, Vec::len)).sum()
}
