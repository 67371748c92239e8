//! Bounded waits.

use std::thread;
use std::time::{Duration, Instant};

/// The longest wait of a test.
pub const MAX_WAIT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until a condition is true.
///
/// # Panics
/// The condition is not true within [`MAX_WAIT`]; `what` describes it.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < MAX_WAIT, "{what}");
        thread::sleep(POLL_INTERVAL);
    }
}
