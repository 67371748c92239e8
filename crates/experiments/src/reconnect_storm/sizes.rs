//! The size of the experiment, from the command line.

use clap::Args;

/// The size, duration and load of the simulation.
#[derive(Args, Clone, Debug)]
pub(crate) struct Sizes {
    #[arg(long, default_value_t = 10_000)]
    pub(super) clients: usize,
    #[arg(long, default_value_t = 5)]
    pub(super) gateways: usize,
    #[arg(long, default_value_t = 60)]
    pub(super) seconds: u64,
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// The load as a share of the capacity of all gateways.
    #[arg(long, default_value_t = 0.7)]
    pub(super) load: f64,
}
