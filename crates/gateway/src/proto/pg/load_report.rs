//! Load reports of endpoints as text.

use super::backend::ROW_HEADER;
use crate::limits::messages::MAX_LOAD_VALUE;
use bytes::Bytes;
use latchhaven_policy::LoadReport;

/// The value of a row of one column as text. None: the row is too short, or its value is not UTF-8.
#[must_use]
pub fn row_text(row: &Bytes) -> Option<&str> {
    std::str::from_utf8(row.get(1 + ROW_HEADER as usize..)?).ok()
}

/// Parses a load report: `inflight=7,util=0.61`. A report with any invalid part yields an empty one.
#[must_use]
pub fn parse_load_report(text: &str) -> LoadReport {
    text.split(',').map(parse_value).collect::<Option<LoadReport>>().unwrap_or_default()
}

fn parse_value(pair: &str) -> Option<(String, f64)> {
    let (name, value) = pair.split_once('=')?;
    let name = name.trim();
    let value = value.trim().parse::<f64>().ok()?;
    let is_valid = (0.0..=MAX_LOAD_VALUE).contains(&value) && !name.is_empty();
    is_valid.then(|| (name.to_string(), value))
}
