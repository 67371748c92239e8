//! What was sent, answered and run, written to the case's `record.txt` at the end.

use crate::now_ms;
use std::sync::Mutex;

static LINES: Mutex<Vec<(f64, String)>> = Mutex::new(Vec::new());

/// Records a line at the present time.
pub fn note(text: impl Into<String>) {
    note_at(now_ms(), text);
}

pub fn note_at(at: f64, text: impl Into<String>) {
    LINES.lock().unwrap().push((at, text.into()));
}

/// Writes all lines in order of time, and the summary before them.
pub fn write(summary: &str) {
    let mut lines = LINES.lock().unwrap().clone();
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut text = format!("{summary}\n\ntimes in ms since the start of the run\n");
    for (at, line) in lines {
        text.push_str(&format!("{at:10.1} {line}\n"));
    }
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_string());
    if let Err(error) = std::fs::write(&path, text) {
        eprintln!("record: {path}: {error}");
    }
}
