//! Experiments on loopback: seeded, sizes as flags. Each prints one JSON object of figures last and ends with 1 where
//! anything that must hold did not.

// Until its turn: docs/ROADMAP.md.
#![allow(clippy::too_many_lines, clippy::wildcard_imports, unreachable_pub)]

mod day;
mod event_queue;
mod reconnect_storm;
mod xds;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Measures this project's programs against stand-ins.
#[derive(Parser)]
#[command(name = "latchhaven-experiments", version)]
struct Line {
    #[command(subcommand)]
    word: Word,
}

#[derive(Subcommand)]
enum Word {
    /// Proxies that hold what a control service hands out, while builds roll out and hosts come and go.
    Xds(xds::Sizes),
    /// A crowd of clients loses a gateway at once, in simulated time.
    Crowd(reconnect_storm::Sizes),
    /// Days in simulated time: routed by handouts, by gateways, and evenly.
    Day(day::Sizes),
}

fn main() -> ExitCode {
    let (figures, held) = match Line::parse().word {
        Word::Xds(sizes) => xds::run(&sizes),
        Word::Crowd(sizes) => reconnect_storm::run(&sizes),
        Word::Day(sizes) => day::run(&sizes),
    };
    println!("{figures}");
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
