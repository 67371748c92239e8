//! What is counted, and how what must hold is checked: asserted in debug builds, counted in release builds.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// One figure for each thing that happens; docs/counters.md says what each one means.
        #[derive(Default)]
        pub struct Counters { $(pub $name: Count,)* }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let figures = [$((stringify!($name), self.$name.get()),)*];
                let mut gap = "";
                for (name, figure) in figures {
                    write!(f, "{gap}{name}={figure}")?;
                    gap = " ";
                }
                Ok(())
            }
        }

        /// The counters of this process.
        pub static COUNTERS: Counters = Counters { $($name: Count(AtomicU64::new(0)),)* };
    };
}

#[derive(Default)]
pub struct Count(AtomicU64);

impl Count {
    pub fn add(&self) {
        self.0.fetch_add(1, Relaxed);
    }

    /// For figures that go up and down.
    pub fn now(&self, value: usize) {
        self.0.store(value as u64, Relaxed);
    }

    /// For figures that note the most there was.
    pub fn most(&self, value: usize) {
        self.0.fetch_max(value as u64, Relaxed);
    }

    pub fn get(&self) -> u64 {
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

/// What must hold: ends a debug build, counts and logs in a release build.
#[macro_export]
macro_rules! must {
    ($holds:expr, $what:expr) => {{
        let holds = $holds;
        if !holds {
            debug_assert!(holds, "{}", $what);
            $crate::counters::COUNTERS.broken_assertions.add();
            tracing::error!("must hold: {}", $what);
        }
        holds
    }};
}
