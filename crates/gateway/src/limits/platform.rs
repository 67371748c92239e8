//! Limits of the platform's feed and of votes.

use crate::clock::millis;
use latchhaven_backoff::{ExponentialBackoff, Jitter};
use latchhaven_policy::Millis;
use std::time::Duration;

/// A feed has failed when it delivered no line for this long, also while it is being opened. The platform sends a line
/// every second.
pub const FEED_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Backoff in milliseconds before a lost feed is opened again. Doubled with each consecutive feed that delivered no
/// line.
pub const FEED_BACKOFF: ExponentialBackoff = ExponentialBackoff::new(100.0, 1600.0, Jitter::Half);
/// Maximum idle time after which a connection for votes is still reused. The platform closes some idle connections in
/// less than 10 s.
pub const MAX_VOTE_CONNECTION_IDLE: Duration = Duration::from_secs(3);
/// Maximum valid age in a report of the platform: one year.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(365 * 86_400);
/// Maximum difference between the start times of a rollout state, calculated from two reports of it. Start times
/// differ because reported ages are rounded to milliseconds and arrive with a delay.
pub const ROLLOUT_START_TOLERANCE: Duration = Duration::from_millis(20);

/// Returns `true` if a reported rollout state, which began at `began_at`, is older than the known state of the same
/// version, which began at `known_began_at`.
#[must_use]
pub fn is_older_state(began_at: Millis, known_began_at: Millis) -> bool {
    began_at < known_began_at - millis(ROLLOUT_START_TOLERANCE)
}
