//! Metrics of this process, and checks of invariants.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// The metrics of a process, described in docs/counters.md. Displayed as `name=value` pairs.
        #[derive(Default)]
        pub struct Counters {
            $(
                #[doc = concat!("Described as `", stringify!($name), "` in docs/counters.md.")]
                pub $name: Metric,
            )*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let metrics = [$((stringify!($name), self.$name.value()),)*];
                let mut separator = "";
                for (name, value) in metrics {
                    write!(f, "{separator}{name}={value}")?;
                    separator = " ";
                }
                Ok(())
            }
        }

        /// The metrics of this process. Updated by all of its tasks.
        pub static COUNTERS: Counters = Counters { $($name: Metric(AtomicU64::new(0)),)* };
    };
}

/// A counter, a gauge or a maximum. Starts at 0.
#[derive(Default)]
pub struct Metric(AtomicU64);

impl Metric {
    /// Adds 1 to a counter.
    pub fn increment(&self) {
        self.0.fetch_add(1, Relaxed);
    }

    /// Sets a gauge to `value`.
    pub fn set(&self, value: usize) {
        self.0.store(value as u64, Relaxed);
    }

    /// Raises a maximum to `value` unless the maximum is already higher.
    pub fn record_max(&self, value: usize) {
        self.0.fetch_max(value as u64, Relaxed);
    }

    /// The current number. Other threads may change it at any time.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

counters!(
    requests_total,
    requests_succeeded_total,
    requests_rejected_total,
    requests_failed_total,
    unserved_overload_total,
    unserved_no_endpoint_total,
    unserved_list_expired_total,
    unserved_attempts_failed_total,
    unserved_overdue_total,
    unserved_abandoned_total,
    unserved_unknown_class_total,
    clients_disconnected_total,
    invalid_queries_total,
    protocol_errors_total,
    attempts_total,
    attempts_succeeded_total,
    attempts_failed_total,
    attempts_rejected_total,
    attempts_timed_out_total,
    attempts_unconnected_total,
    attempts_connection_lost_total,
    attempts_cancelled_total,
    attempts_not_sent_total,
    health_checks_total,
    client_connections_total,
    client_connections_max,
    clients_rejected_total,
    clients_evicted_total,
    clients_timed_out_total,
    large_messages_delayed_total,
    large_messages_preempted_total,
    server_connects_total,
    server_connects_failed_total,
    server_connections_max,
    malformed_responses_total,
    unsolicited_responses_total,
    accept_errors_total,
    discovery_calls_total,
    discovery_failures_total,
    endpoint_list_updates_total,
    feed_opened_total,
    feed_lost_total,
    rollout_updates_total,
    outcome_reports_total,
    votes_total,
    votes_counted_total,
    votes_not_counted_total,
    votes_unknown_total,
    batches_total,
    open_requests,
    pending_timers,
    listed_endpoints,
    open_client_connections,
    open_server_connections,
    invariant_violations_total,
);

/// Checks an invariant, and returns whether the condition is true. A violation panics in a debug build; in a release
/// build, it is counted and logged.
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $description:expr) => {{
        let holds = $condition;
        if !holds {
            debug_assert!(holds, "{}", $description);
            $crate::counters::COUNTERS.invariant_violations_total.increment();
            tracing::error!("invariant violated: {}", $description);
        }
        holds
    }};
}
