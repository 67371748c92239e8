//! The simulator's adapter: reads batches of messages from standard input, and writes the actions of each instance to
//! standard output.

#![warn(clippy::pedantic)]

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = latchhaven_simulator_protocol::InstanceHost::default();
    match host.serve(BufReader::new(io::stdin().lock()), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("latchhaven-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
