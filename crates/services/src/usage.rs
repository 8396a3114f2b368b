//! The record of usage as both owners read it: all segments, checked, and the bill from them.

use std::collections::BTreeMap;

use azurepath_decide::usage::{Bill, Chain, Corruption, Head, Segment};

use crate::{object, table};

/// The beginning of the keys of the rows that name the heads of chains.
const HEADS: &str = "usage/";

/// Rows in one page.
const PAGE_ROWS: u32 = 500;

/// Returns the key of the row that names the head of a writer's chain.
pub fn head_key(writer: &str) -> String {
    format!("{HEADS}{writer}")
}

/// Why the record could not be read; what is wrong in it is in [`Record::faults`] instead.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The object store failed.
    #[error(transparent)]
    Objects(#[from] object::Error),
    /// The table service failed.
    #[error(transparent)]
    Table(#[from] table::Error),
}

/// The record of usage.
#[derive(Debug, Default)]
pub struct Record {
    /// The bill from all segments that are as they were sealed.
    pub bill: Bill,
    /// How many segments were read.
    pub segments: usize,
    /// What is not as it was sealed.
    pub faults: Vec<Corruption>,
}

/// Reads and checks all segments.
///
/// # Errors
///
/// Returns [`Error`] where the platform can't be read.
pub async fn read(objects: &dyn object::Store, table: &dyn table::Table) -> Result<Record, Error> {
    // The heads first: a chain may grow past its head meanwhile, but not fall behind it.
    let mut chains: BTreeMap<String, Chain> = heads(table)
        .await?
        .into_iter()
        .map(|(writer, head)| (writer.clone(), Chain::new(&writer, head)))
        .collect();
    let mut record = Record::default();
    for name in objects.list(Segment::prefix()).await? {
        let data = objects.get(&name).await?;
        record.segments += 1;
        match Segment::parse(&name, &String::from_utf8_lossy(&data)) {
            Ok(segment) => record.take(&segment, &mut chains),
            Err(broken) => record.faults.push(broken),
        }
    }
    let short = chains.values().filter_map(|chain| chain.finish().err());
    record.faults.extend(short);
    Ok(record)
}

impl Record {
    fn take(&mut self, segment: &Segment, chains: &mut BTreeMap<String, Chain>) {
        let writer = &segment.writer;
        let begin = || Chain::new(writer, Head::default());
        let chain = chains.entry(writer.clone()).or_insert_with(begin);
        if let Err(broken) = chain.follow(segment) {
            self.faults.push(broken);
            return;
        }
        segment
            .entries
            .iter()
            .for_each(|entry| self.bill.add(entry));
    }
}

async fn heads(table: &dyn table::Table) -> Result<Vec<(String, Head)>, table::Error> {
    let mut heads = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = table.scan(HEADS, after.as_deref(), PAGE_ROWS).await?;
        for row in page.rows {
            let writer = row.key.strip_prefix(HEADS).unwrap_or(&row.key).to_owned();
            let head = serde_json::from_value(row.value);
            heads.push((writer, head.unwrap_or_default()));
        }
        after = page.next;
        if after.is_none() {
            return Ok(heads);
        }
    }
}
