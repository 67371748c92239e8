//! Runs the soak experiment for a short time with two seeds. Longer runs with more seeds are described in
//! `docs/results/incident-pellow.md`.

use rstest::rstest;
use std::process::Command;

/// Duration of each run.
const SECONDS: &str = "24";

#[rstest]
#[case::cut_off_lists(3)]
#[case::floods_and_silence(6)]
fn gateways_violate_no_rule_under_faults(#[case] seed: u64) {
    let mut soak = Command::new(env!("CARGO_BIN_EXE_latchhaven-experiments"));
    soak.args(["soak", "--seed", &seed.to_string(), "--seconds", SECONDS]);
    let output = soak.output().expect("the experiment runs");
    let results = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{results}");
}
