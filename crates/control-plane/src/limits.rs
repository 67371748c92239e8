//! Limits and rules of the control plane. Each rule is a function of its inputs; the modules with state, sockets or
//! files define no limits of their own.

use latchhaven_policy::Millis;
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use latchhaven_proxy_config::version::{RolloutStatus, RolloutVersion};
use std::time::Duration;

/// Shortest time between two publications. Updates that arrive within it are published together.
const COALESCING_INTERVAL: Millis = 40.0;
/// Time after a publication until a configuration is built without an update, because endpoints warm up, request
/// rates change, and proxies fail to acknowledge.
const REFRESH_INTERVAL: Millis = 250.0;
/// Shortest time between two requests for a snapshot of the endpoint list, to limit the load on discovery while the
/// list is stale.
const SNAPSHOT_RETRY_INTERVAL: Millis = 5_000.0;
/// Shortest delay of a timer of the policy; prevents a busy loop.
const MIN_TIMER_DELAY: Millis = 1.0;
/// Longest time between two polls while streams are pending admission.
const ADMISSION_POLL_INTERVAL: Millis = 1.0;
/// Longest time between two polls.
const MAX_POLL_INTERVAL: Millis = 1_000.0;
/// Time for which load reports may name an endpoint that left the list, since they cover a past period.
const ENDPOINT_RETENTION: Millis = 60_000.0;
/// Limit of the software versions retained for one endpoint address. A late load report may name a version that ran
/// there before.
pub(crate) const MAX_RETAINED_VERSIONS: usize = 4;
/// Proxies whose published canary shares may be retained, for each stream that may be open or pending. More than one,
/// because disconnected proxies still use their shares.
const SHARE_ENTRIES_PER_STREAM: usize = 2;
/// Proxies that may be registered for each proxy whose shares are retained, in addition to
/// [`MIN_REGISTERED_PROXIES`]. Above the sum disconnected proxies are removed, which bounds memory.
const PROXIES_PER_SHARE_ENTRY: usize = 2;
/// Proxies that may be registered even if no shares are retained, so that a small site removes none.
const MIN_REGISTERED_PROXIES: usize = 64;

/// Limit of the events of one channel that are processed before the control plane is polled; bounds the delay of its
/// decisions.
pub(crate) const MAX_EVENT_BATCH: usize = 256;
/// Limit of the events of all streams in the queue to the event loop; bounds memory. A stream whose event does not
/// fit waits.
pub(crate) const MAX_PENDING_SERVER_EVENTS: usize = 1024;
/// Limit of the threads that serve proxies.
const MAX_XDS_THREADS: usize = 4;
/// Shortest time between two writes of the state store, to limit the load on the disk.
pub(crate) const STATE_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Returns when an update that arrives at `now` is published: immediately, or [`COALESCING_INTERVAL`] after the last
/// publication if that is later.
pub(crate) fn publication_due_at(now: Millis, last_published_at: Option<Millis>) -> Millis {
    last_published_at.map_or(now, |last| now.max(last + COALESCING_INTERVAL))
}

/// Returns when the next configuration is built if no update arrives after `now`.
pub(crate) fn refresh_due_at(now: Millis) -> Millis {
    now + REFRESH_INTERVAL
}

/// Returns when the earliest of the policy's timers fires, given their delays from `now`. Without a timer the policy
/// runs when the next configuration is built.
pub(crate) fn policy_timer_at(now: Millis, delays: impl IntoIterator<Item = Millis>) -> Millis {
    let times = delays.into_iter().map(|delay| now + delay.max(MIN_TIMER_DELAY));
    times.reduce(f64::min).unwrap_or_else(|| refresh_due_at(now))
}

/// Returns `true` if a snapshot of the endpoint list may be requested at `now`.
pub(crate) fn may_request_snapshot(now: Millis, last_requested_at: Option<Millis>) -> bool {
    last_requested_at.is_none_or(|last| now - last >= SNAPSHOT_RETRY_INTERVAL)
}

/// Work that remains after the last poll of the control plane.
#[derive(Clone, Copy)]
pub(crate) struct PendingWork {
    /// When the next publication or timer is due.
    pub(crate) due_at: Millis,
    /// Set while streams are pending admission.
    pub(crate) has_pending_streams: bool,
    /// Set while events wait for the policy, which processes them with the next publication or timer.
    pub(crate) has_pending_events: bool,
}

/// Returns when the control plane is polled next.
pub(crate) fn next_poll_at(now: Millis, pending: PendingWork) -> Millis {
    let mut next = pending.due_at;
    if pending.has_pending_streams {
        next = next.min(now + ADMISSION_POLL_INTERVAL);
    }
    if pending.has_pending_events {
        next = next.min(now + COALESCING_INTERVAL);
    }
    next
}

/// Returns the delay from `now` of a poll that is due at `poll_at`.
pub(crate) fn poll_delay(now: Millis, poll_at: Millis) -> Millis {
    (poll_at - now).clamp(0.0, MAX_POLL_INTERVAL)
}

/// Returns `true` if load reports may still name an endpoint that was on the list at `last_listed_at`.
pub(crate) fn retains_endpoint(now: Millis, last_listed_at: Millis) -> bool {
    now - last_listed_at < ENDPOINT_RETENTION
}

/// Returns for how many proxies published shares are retained, if `max_streams` streams may be open or pending.
pub(crate) fn max_share_entries(max_streams: usize) -> usize {
    SHARE_ENTRIES_PER_STREAM * max_streams
}

/// Returns how many proxies may be registered before disconnected ones are removed. `share_entries` is the number of
/// proxies whose published shares are retained at present.
pub(crate) fn max_registered_proxies(share_entries: usize) -> usize {
    PROXIES_PER_SHARE_ENTRY * share_entries + MIN_REGISTERED_PROXIES
}

/// Returns the number of threads that serve proxies on a machine with so many processors.
pub(crate) fn xds_threads(processors: usize) -> usize {
    processors.min(MAX_XDS_THREADS)
}

/// Returns the canary's share of the requests, from 0 to 1, in a configuration with this status. `decided` is the
/// share that this process decided. A rejected canary gets no requests, whichever control plane rejected it, unless
/// its decided share is 1: then no other version can serve the requests.
pub(crate) fn published_canary_share(decided: f64, status: RolloutStatus) -> f64 {
    if status == RolloutStatus::Rejected && decided < 1.0 { 0.0 } else { decided }
}

/// Returns the largest share of its requests that a proxy may send to the canary under a configuration of this
/// version, whichever control plane published it.
pub(crate) fn max_published_share(rollout: &RolloutVersion) -> PartsPerMillion {
    match rollout.status {
        RolloutStatus::Canary | RolloutStatus::RollingBack => rollout.traffic_cap,
        RolloutStatus::Rejected | RolloutStatus::Promoted | RolloutStatus::RolledBack => {
            PartsPerMillion::ZERO
        }
    }
}
