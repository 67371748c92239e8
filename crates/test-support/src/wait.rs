//! Waits with a timeout.

use std::thread;
use std::time::{Duration, Instant};

/// The timeout of a test's wait for one condition.
pub const MAX_WAIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Checks a condition periodically until it is true. `what` describes it in the message of the panic.
///
/// # Panics
/// The condition is not true within [`MAX_WAIT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < MAX_WAIT, "{what}");
        thread::sleep(POLL_INTERVAL);
    }
}
