//! Limits of the platform's feed and of votes.

use crate::clock::millis;
use latchhaven_backoff::{ExponentialBackoff, Jitter};
use latchhaven_policy::Millis;
use std::time::Duration;

/// A feed without a line for this long has failed, also while it is opened. The platform sends one every second.
pub const FEED_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// When a lost feed is opened again; doubled with each feed in a row that delivered no line.
pub const FEED_BACKOFF: ExponentialBackoff = ExponentialBackoff::new(100.0, 1600.0, Jitter::Half);
/// A connection for votes that idled for longer is not reused: the platform closes some before 10 s.
pub const MAX_VOTE_CONNECTION_IDLE: Duration = Duration::from_secs(3);
/// The highest valid age of a report: a year.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(365 * 86_400);
/// Two reports of one rollout state may give start times that differ by this: ages are rounded to ms and delayed.
pub const START_TIME_TOLERANCE: Duration = Duration::from_millis(20);

/// A reported state of a rollout is older than the known state of the same version. `began_at`, `known_began_at`: the
/// start times of both in ms.
#[must_use]
pub fn is_older_state(began_at: Millis, known_began_at: Millis) -> bool {
    began_at < known_began_at - millis(START_TIME_TOLERANCE)
}
