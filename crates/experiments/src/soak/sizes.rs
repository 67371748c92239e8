//! The size of the experiment, from the command line.

use clap::Args;

/// The size, duration and faults of the run.
#[derive(Args, Clone, Debug)]
pub(crate) struct Sizes {
    /// The seed of the faults.
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
    /// Some duplicates of responses end with a `ReadyForQuery` of their own.
    #[arg(long)]
    pub(super) complete_duplicates: bool,
    /// Print each fault when it begins.
    #[arg(long)]
    pub(super) verbose: bool,
}
