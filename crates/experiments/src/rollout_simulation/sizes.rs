//! The size of the experiment, from the command line.

use clap::Args;

/// The number of days, and their size.
#[derive(Args, Clone, Debug)]
pub(crate) struct Sizes {
    #[arg(long, default_value_t = 6)]
    pub(super) days: u64,
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Proxies, or gateways.
    #[arg(long, default_value_t = 10)]
    pub(super) fronts: usize,
    #[arg(long, default_value_t = 40)]
    pub(super) hosts: usize,
    /// The length of a day in simulated seconds, with two rollouts.
    #[arg(long, default_value_t = 90)]
    pub(super) seconds: u64,
    /// The load as a share of the capacity of all hosts after warm-up.
    #[arg(long, default_value_t = 0.5)]
    pub(super) load: f64,
}
