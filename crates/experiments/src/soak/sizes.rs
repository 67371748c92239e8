//! The size of the experiment, from the command line.

use clap::Args;

/// How many, for how long, and which faults.
#[derive(Args, Clone, Debug)]
pub(crate) struct Sizes {
    /// Draws the faults.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    #[arg(long, default_value_t = 30)]
    pub(super) seconds: u64,
    #[arg(long, default_value_t = 4)]
    pub(super) gateways: usize,
    #[arg(long, default_value_t = 6)]
    pub(super) servers: usize,
    /// Clients of each gateway.
    #[arg(long, default_value_t = 4)]
    pub(super) clients: usize,
    /// Print the faults as they are played.
    #[arg(long)]
    pub(super) verbose: bool,
}
