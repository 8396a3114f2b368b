//! Prints results as a table or as JSON.

use std::str::FromStr;

use serde_json::Value;

/// The output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// A table with columns, for people.
    #[default]
    Table,
    /// JSON documents, for programs.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            _ => Err("type --output table or --output json".to_owned()),
        }
    }
}

/// Formats flat documents as a table with a heading.
pub(crate) fn table(rows: &[Value]) -> String {
    let mut columns: Vec<String> = Vec::new();
    for row in rows {
        for name in row.as_object().into_iter().flat_map(|map| map.keys()) {
            if !columns.contains(name) {
                columns.push(name.clone());
            }
        }
    }
    columns.sort_by_key(|name| (column_rank(name), name.clone()));
    let heading: Vec<String> = columns.iter().map(|name| name.to_uppercase()).collect();
    let cells = rows
        .iter()
        .map(|row| columns.iter().map(|name| cell(&row[name])).collect());
    let lines: Vec<Vec<String>> = std::iter::once(heading).chain(cells).collect();
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| {
            lines
                .iter()
                .map(|line| line[column].len())
                .max()
                .unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for line in lines {
        let padded = line.iter().zip(&widths);
        let padded: Vec<String> = padded
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text.push_str(padded.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Flattens a listed item to one document, so that each field becomes a column.
pub(crate) fn flatten(item: &Value) -> Value {
    let Some(resource) = item.get("resource") else {
        return item.clone();
    };
    let mut row = resource.clone();
    if let Some(map) = row.as_object_mut() {
        map.remove("kind");
        map.insert("revision".to_owned(), item["revision"].clone());
    }
    row
}

fn column_rank(column: &str) -> usize {
    let first = ["name", "revision", "team", "account"];
    first
        .iter()
        .position(|name| *name == column)
        .unwrap_or(first.len())
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Object(map) => {
            let parts = map.iter().filter(|(_, value)| value.as_u64() != Some(0));
            let parts: Vec<String> = parts
                .map(|(name, value)| format!("{name}={value}"))
                .collect();
            parts.join(",")
        }
        other => other.to_string(),
    }
}
