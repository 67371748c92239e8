//! Limits and rules of the control plane. Each rule is a function of its inputs; the modules with state, sockets or
//! files have no limits of their own.

use latchhaven_policy::Millis;
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use latchhaven_proxy_config::version::{RolloutStatus, RolloutVersion};
use std::time::Duration;

/// ms between two publications that follow updates: all updates within it are published together.
const COALESCING_INTERVAL: Millis = 40.0;
/// ms after which a configuration is built without an update: endpoints warm up, request rates change, and proxies
/// fail to acknowledge.
const REFRESH_INTERVAL: Millis = 250.0;
/// ms between two requests for a snapshot of the endpoint list: limits the load on discovery while the list is stale.
const SNAPSHOT_RETRY_INTERVAL: Millis = 5_000.0;
/// ms that a timer of the decisions takes at least: prevents a busy loop.
const MIN_TIMER_DELAY: Millis = 1.0;
/// ms between two polls while streams are pending admission.
const ADMISSION_INTERVAL: Millis = 1.0;
/// ms between two polls at most.
const MAX_POLL_INTERVAL: Millis = 1_000.0;
/// ms for which an endpoint that left the list is accepted in load reports, which cover a past period.
const ENDPOINT_RETENTION: Millis = 60_000.0;
/// Versions retained for one address: late load reports name the version before.
pub(crate) const MAX_RETAINED_VERSIONS: usize = 4;
/// Entries of the share ledger for each stream that may be open: disconnected proxies still use their shares.
const SHARE_ENTRIES_PER_STREAM: usize = 2;
/// Registered proxies for each entry of the share ledger, before disconnected ones are removed: bounds memory.
const PROXIES_PER_SHARE_ENTRY: usize = 2;
/// Registered proxies that are always allowed: a small site removes none.
const MIN_REGISTERED_PROXIES: usize = 64;

/// Events of one channel that are processed before the control plane is polled: bounds the delay of decisions.
pub(crate) const MAX_EVENT_BATCH: usize = 256;
/// Events of all streams in the queue to the event loop; a stream with more waits: bounds memory.
pub(crate) const MAX_PENDING_SERVER_EVENTS: usize = 1024;
/// Threads that serve proxies at most.
const MAX_XDS_THREADS: usize = 4;
/// Time between two writes of the state store: limits the load on the disk.
pub(crate) const STATE_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// When an update that arrives at `now` is published, in ms: immediately, or [`COALESCING_INTERVAL`] after the
/// publication at `last_published_at`.
pub(crate) fn publication_due_at(now: Millis, last_published_at: Millis) -> Millis {
    now.max(last_published_at + COALESCING_INTERVAL)
}

/// When the next configuration is built if no update arrives after `now`, in ms.
pub(crate) fn refresh_due_at(now: Millis) -> Millis {
    now + REFRESH_INTERVAL
}

/// When the earliest of the decisions' timers fires, in ms; without a timer, when the next configuration is built.
/// `delays` are in ms from `now`.
pub(crate) fn decision_timer_at(now: Millis, delays: impl IntoIterator<Item = Millis>) -> Millis {
    let times = delays.into_iter().map(|delay| now + delay.max(MIN_TIMER_DELAY));
    let earliest = times.fold(f64::INFINITY, f64::min);
    if earliest == f64::INFINITY { refresh_due_at(now) } else { earliest }
}

/// True where a snapshot of the endpoint list may be requested again at `now`; times in ms.
pub(crate) fn may_request_snapshot(now: Millis, last_requested_at: Millis) -> bool {
    now - last_requested_at >= SNAPSHOT_RETRY_INTERVAL
}

/// Work that the control plane has not done yet.
#[derive(Clone, Copy)]
pub(crate) struct PendingWork {
    /// When the next publication or timer is due, in ms.
    pub(crate) due_at: Millis,
    /// Streams are pending admission.
    pub(crate) has_pending_streams: bool,
    /// Events have not been passed to the policy; they are with the next publication or timer.
    pub(crate) has_pending_events: bool,
}

/// When the control plane is to be polled next, in ms.
pub(crate) fn next_poll_at(now: Millis, pending: PendingWork) -> Millis {
    let mut next = pending.due_at;
    if pending.has_pending_streams {
        next = next.min(now + ADMISSION_INTERVAL);
    }
    if pending.has_pending_events {
        next = next.min(now + COALESCING_INTERVAL);
    }
    next
}

/// The delay in ms of a poll that is due at `poll_at`.
pub(crate) fn poll_delay(now: Millis, poll_at: Millis) -> Millis {
    (poll_at - now).clamp(0.0, MAX_POLL_INTERVAL)
}

/// True while load reports may name an endpoint that was on the list at `last_listed_at`; times in ms.
pub(crate) fn retains_endpoint(now: Millis, last_listed_at: Millis) -> bool {
    now - last_listed_at < ENDPOINT_RETENTION
}

/// Entries of the share ledger, where `max_streams` streams may be open or pending.
pub(crate) fn max_share_entries(max_streams: usize) -> usize {
    SHARE_ENTRIES_PER_STREAM * max_streams
}

/// Proxies that may be registered before disconnected ones are removed, where the share ledger has `share_entries` entries
/// at present.
pub(crate) fn max_registered_proxies(share_entries: usize) -> usize {
    PROXIES_PER_SHARE_ENTRY * share_entries + MIN_REGISTERED_PROXIES
}

/// Threads that serve proxies on a machine with so many processors.
pub(crate) fn xds_threads(processors: usize) -> usize {
    processors.min(MAX_XDS_THREADS)
}

/// The canary's share of the requests in a configuration with this status, from 0 to 1. A rejected canary gets
/// none, whichever control plane rejected it and whatever share was `decided` here, unless that is all: then it is the only
/// version.
pub(crate) fn published_canary_share(decided: f64, status: RolloutStatus) -> f64 {
    if status == RolloutStatus::Rejected && decided < 1.0 { 0.0 } else { decided }
}

/// The largest share of its requests that a proxy may send to the canary under a configuration of this version,
/// whichever control plane published it.
pub(crate) fn max_published_share(rollout: &RolloutVersion) -> PartsPerMillion {
    match rollout.status {
        RolloutStatus::Canary | RolloutStatus::RollingBack => rollout.traffic_cap,
        RolloutStatus::Rejected | RolloutStatus::Promoted | RolloutStatus::RolledBack => {
            PartsPerMillion::ZERO
        }
    }
}
