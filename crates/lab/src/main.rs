//! Experiments on loopback: seeded, sizes as flags. Each prints one JSON object of figures last and ends with 1 where
//! anything that must hold did not.

mod machine;
mod xds;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Measures this project's programs against stand-ins.
#[derive(Parser)]
#[command(name = "latchhaven-lab", version)]
struct Line {
    #[command(subcommand)]
    word: Word,
}

#[derive(Subcommand)]
enum Word {
    /// Proxies that hold what a control service hands out, while builds roll out and hosts come and go.
    Xds(xds::Sizes),
}

fn main() -> ExitCode {
    let Word::Xds(sizes) = Line::parse().word;
    let (figures, held) = xds::run(&sizes);
    println!("{figures}");
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
