//! The size of the experiment, from the command line.

use clap::Args;

/// The size, duration and faults of the experiment.
#[derive(Args, Clone, Debug)]
pub(crate) struct Sizes {
    #[arg(long, default_value_t = 1000)]
    pub(super) proxies: usize,
    #[arg(long, default_value_t = 500)]
    pub(super) hosts: usize,
    #[arg(long, default_value_t = 30)]
    pub(super) seconds: u64,
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Share of the proxies with incremental streams.
    #[arg(long, default_value_t = 0.5)]
    pub(super) incremental: f64,
    /// SIGKILL for the control service after a third of the time; it is restarted two seconds later.
    #[arg(long)]
    pub(super) kill_control: bool,
    /// All proxies lose their streams after a third of the time.
    #[arg(long)]
    pub(super) reconnect_all: bool,
    /// This share of the proxies rejects routes in the second third of the time.
    #[arg(long, default_value_t = 0.0)]
    pub(super) nack: f64,
    /// This share of the proxies is disconnected in the second third of the time.
    #[arg(long, default_value_t = 0.0)]
    pub(super) partition: f64,
}
