//! Experiments on loopback or in simulated time. Each is seeded, has its sizes as flags, prints one JSON object of
//! results last, and exits with 1 if a requirement was not met.

#![warn(clippy::pedantic)]
#![allow(clippy::cast_possible_truncation, reason = "counts and times in milliseconds are small")]
#![allow(clippy::cast_precision_loss, reason = "counts and times in milliseconds stay below 2^53")]
#![allow(clippy::cast_sign_loss, reason = "times and counts are not negative")]

mod event_queue;
mod reconnect_storm;
mod rollout_simulation;
mod soak;
mod xds;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Runs seeded experiments with simulated load, hosts and faults.
#[derive(Parser)]
#[command(name = "latchhaven-experiments", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Proxies on a control service, while versions roll out and hosts are added and drained.
    Xds(xds::Sizes),
    /// Many clients lose a gateway simultaneously, in simulated time.
    #[command(name = "crowd")]
    ReconnectStorm(reconnect_storm::Sizes),
    /// Days with rollouts in simulated time: requests are routed by proxies, by gateways, and evenly.
    #[command(name = "day")]
    RolloutSimulation(rollout_simulation::Sizes),
    /// Gateway processes under faults; their records are checked against the rules.
    Soak(soak::Sizes),
}

fn main() -> ExitCode {
    let (results, is_passed) = match Cli::parse().command {
        Command::Xds(sizes) => xds::run(&sizes),
        Command::ReconnectStorm(sizes) => reconnect_storm::run(&sizes),
        Command::RolloutSimulation(sizes) => rollout_simulation::run(&sizes),
        Command::Soak(sizes) => soak::run(&sizes),
    };
    println!("{results}");
    if is_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
