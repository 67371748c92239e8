//! Reads batches on standard input, lets each instance decide, writes replies on standard output.

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
