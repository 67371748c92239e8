//! The flags of the subcommand `day`.

use clap::Args;

/// The number of days, and their size.
#[derive(Args, Clone, Debug)]
pub(crate) struct Sizes {
    /// Number of simulated days per routing mode.
    #[arg(long, default_value_t = 6)]
    pub(super) days: u64,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Number of proxies, or of gateways.
    #[arg(long = "fronts", value_name = "FRONTS", default_value_t = 10)]
    pub(super) routers: usize,
    /// Number of hosts.
    #[arg(long, default_value_t = 40)]
    pub(super) hosts: usize,
    /// Length of a day in simulated seconds; its rollouts start at 5 s and 45 s at the earliest.
    #[arg(long, default_value_t = 90)]
    pub(super) seconds: u64,
    /// Mean load as a share of the capacity of all hosts after warm-up.
    #[arg(long, default_value_t = 0.5)]
    pub(super) load: f64,
}
