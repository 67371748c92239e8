//! Load reports of endpoints, as text.

use bytes::Bytes;
use latchhaven_policy::LoadReport;

/// Figures above this make no sense.
const MAX_FIGURE: f64 = 1e6;
/// Bytes of a row of one column before its value: type, length, number of columns, length of the value.
const ROW_HEADER: usize = 11;

/// The value of a row of one column as text.
pub fn row_text(row: &Bytes) -> Option<&str> {
    std::str::from_utf8(row.get(ROW_HEADER..)?).ok()
}

/// Reads a load report: `inflight=7,util=0.61`. One that cannot be read whole, or makes no sense, is empty.
pub fn parse_load_report(text: &str) -> LoadReport {
    text.split(',').map(parse_figure).collect::<Option<LoadReport>>().unwrap_or_default()
}

fn parse_figure(pair: &str) -> Option<(String, f64)> {
    let (name, value) = pair.split_once('=')?;
    let name = name.trim();
    let value = value.trim().parse::<f64>().ok()?;
    let is_sensible = (0.0..=MAX_FIGURE).contains(&value) && !name.is_empty();
    is_sensible.then(|| (name.to_string(), value))
}
