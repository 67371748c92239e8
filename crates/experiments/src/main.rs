//! Experiments on loopback or in simulated time: seeded, with sizes as flags. Each prints one JSON object of figures
//! last, and exits with 1 where a requirement was not met.

mod event_queue;
mod reconnect_storm;
mod rollout_simulation;
mod soak;
mod xds;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Measures this project's programs against stand-ins.
#[derive(Parser)]
#[command(name = "latchhaven-experiments", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Proxies that hold what a control service hands out, while builds roll out and hosts come and go.
    Xds(xds::Sizes),
    /// A crowd of clients loses a gateway at once, in simulated time.
    #[command(name = "crowd")]
    ReconnectStorm(reconnect_storm::Sizes),
    /// Days in simulated time: routed by handouts, by gateways, and evenly.
    #[command(name = "day")]
    RolloutSimulation(rollout_simulation::Sizes),
    /// Gateways as processes under faults, judged by the rules.
    Soak(soak::Sizes),
}

fn main() -> ExitCode {
    let (figures, is_passed) = match Cli::parse().command {
        Command::Xds(sizes) => xds::run(&sizes),
        Command::ReconnectStorm(sizes) => reconnect_storm::run(&sizes),
        Command::RolloutSimulation(sizes) => rollout_simulation::run(&sizes),
        Command::Soak(sizes) => soak::run(&sizes),
    };
    println!("{figures}");
    if is_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
