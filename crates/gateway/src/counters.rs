//! Counters of this process, and invariants: a violated invariant ends a debug build and is counted in a release
//! build.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// One metric for each thing that happens; docs/counters.md says what each one means.
        #[derive(Default)]
        pub struct Counters {
            $(
                #[doc = concat!("`", stringify!($name), "` in docs/counters.md.")]
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

        /// The counters of this process.
        pub static COUNTERS: Counters = Counters { $($name: Metric(AtomicU64::new(0)),)* };
    };
}

/// One figure that is counted, set, or raised.
#[derive(Default)]
pub struct Metric(AtomicU64);

impl Metric {
    /// Counts one occurrence.
    pub fn increment(&self) {
        self.0.fetch_add(1, Relaxed);
    }

    /// Sets a figure that goes up and down.
    pub fn set(&self, value: usize) {
        self.0.store(value as u64, Relaxed);
    }

    /// Raises a figure to the highest value that there was.
    pub fn record_max(&self, value: usize) {
        self.0.fetch_max(value as u64, Relaxed);
    }

    /// The present figure.
    pub fn value(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

counters!(
    txns,
    settled,
    declined,
    voided,
    clients_gone,
    bad_queries,
    broken_streams,
    submissions,
    sub_settled,
    sub_error,
    sub_turned_away,
    sub_no_answer,
    sub_no_connection,
    sub_lost,
    sub_recalled,
    sub_not_sent,
    probes,
    client_connections,
    client_connections_most,
    clients_turned_away,
    clients_let_go,
    clients_late,
    server_dials,
    server_dials_failed,
    server_connections_most,
    server_spoilt,
    server_unasked,
    accept_errors,
    list_calls,
    list_failures,
    list_changes,
    feed_opened,
    feed_lost,
    states_told,
    tallies_told,
    votes,
    votes_counted,
    votes_not_counted,
    votes_unsure,
    batches,
    now_txns,
    now_timers,
    now_servers,
    now_client_connections,
    now_server_connections,
    broken_assertions,
);

/// Checks an invariant: a violation ends a debug build, and is counted and logged in a release build. Returns whether
/// it holds.
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $description:expr) => {{
        let holds = $condition;
        if !holds {
            debug_assert!(holds, "{}", $description);
            $crate::counters::COUNTERS.broken_assertions.increment();
            tracing::error!("invariant violated: {}", $description);
        }
        holds
    }};
}
