//! Load reports of endpoints, in text form.

use super::backend::ROW_HEADER_BYTES;
use crate::limits::messages::MAX_LOAD_VALUE;
use bytes::Bytes;
use latchhaven_policy::LoadReport;

/// Returns the value of a `DataRow` message with one column, or `None` if the message is too short or the value is
/// not UTF-8. `row` is the complete message, with its type byte.
#[must_use]
pub fn row_text(row: &Bytes) -> Option<&str> {
    std::str::from_utf8(row.get(1 + ROW_HEADER_BYTES as usize..)?).ok()
}

/// Parses a load report such as `inflight=7,util=0.61`. A report with any invalid entry is ignored completely: the
/// result is empty.
#[must_use]
pub fn parse_load_report(text: &str) -> LoadReport {
    text.split(',').map(parse_entry).collect::<Option<LoadReport>>().unwrap_or_default()
}

fn parse_entry(entry: &str) -> Option<(String, f64)> {
    let (name, value) = entry.split_once('=')?;
    let name = name.trim();
    let value = value.trim().parse::<f64>().ok()?;
    let is_valid = (0.0..=MAX_LOAD_VALUE).contains(&value) && !name.is_empty();
    is_valid.then(|| (name.to_string(), value))
}
