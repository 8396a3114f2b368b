//! Reads and verifies the usage segments in the object store and computes the bill from them.

use std::collections::BTreeMap;

use azurepath_decide::usage::{Bill, Chain, Corruption, Head, Segment};

use crate::{object, table};

/// The key prefix of the rows that contain the heads of chains.
const HEAD_PREFIX: &str = "usage/";

/// The number of rows per page of a scan.
const PAGE_ROWS: u32 = 500;

/// Returns the key of the row with the head of a writer's chain.
pub fn head_key(writer: &str) -> String {
    format!("{HEAD_PREFIX}{writer}")
}

/// Why the record could not be read. Corrupted segments are reported in [`Record::faults`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The object store failed.
    #[error(transparent)]
    Objects(#[from] object::Error),
    /// The table service failed.
    #[error(transparent)]
    Table(#[from] table::Error),
}

/// The verified record of usage.
#[derive(Debug, Default)]
pub struct Record {
    /// The bill, computed from all segments that are not corrupted.
    pub bill: Bill,
    /// The number of segments read.
    pub segments: usize,
    /// The corruptions found.
    pub faults: Vec<Corruption>,
}

/// Reads and verifies all segments.
///
/// # Errors
///
/// Returns [`Error`] if the platform can't be read.
pub async fn read(objects: &dyn object::Store, table: &dyn table::Table) -> Result<Record, Error> {
    // Read the heads first. Chains may grow past their heads meanwhile, but a chain that ends
    // before its head has lost segments.
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
            Ok(segment) => record.add_segment(&segment, &mut chains),
            Err(corruption) => record.faults.push(corruption),
        }
    }
    let incomplete = chains.values().filter_map(|chain| chain.finish().err());
    record.faults.extend(incomplete);
    Ok(record)
}

impl Record {
    fn add_segment(&mut self, segment: &Segment, chains: &mut BTreeMap<String, Chain>) {
        let writer = &segment.writer;
        let new_chain = || Chain::new(writer, Head::default());
        let chain = chains.entry(writer.clone()).or_insert_with(new_chain);
        if let Err(corruption) = chain.follow(segment) {
            self.faults.push(corruption);
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
        let page = table.scan(HEAD_PREFIX, after.as_deref(), PAGE_ROWS).await?;
        for row in page.rows {
            let writer = row
                .key
                .strip_prefix(HEAD_PREFIX)
                .unwrap_or(&row.key)
                .to_owned();
            let head = serde_json::from_value(row.value);
            heads.push((writer, head.unwrap_or_default()));
        }
        after = page.next;
        if after.is_none() {
            return Ok(heads);
        }
    }
}
