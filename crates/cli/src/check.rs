//! `check`: reads configurations as they would be read at a start, and prints each fault.

use latchhaven_gateway::config;
use latchhaven_operator_config::line_of;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Checks each file: an operator's script by its ending, anything else as a gateway's configuration.
pub fn check(files: &[PathBuf], schema: bool) -> ExitCode {
    if schema {
        println!("{:#}", latchhaven_operator_config::schema());
        return ExitCode::SUCCESS;
    }
    let mut faults = 0;
    for file in files {
        let found =
            if file.extension().is_some_and(|ending| ending == "star") { script(file) } else { json(file) };
        match found.as_slice() {
            [] => println!("{}: fit", file.display()),
            found => found.iter().for_each(|fault| println!("{fault}")),
        }
        faults += found.len();
    }
    if faults == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn script(file: &Path) -> Vec<String> {
    match latchhaven_operator_config::read(file) {
        Err(faults) => faults.0.iter().map(ToString::to_string).collect(),
        Ok(loaded) => {
            let settings = latchhaven_control_plane::settings(&loaded.config);
            settings.err().into_iter().map(|why| format!("{}: control.{why}", file.display())).collect()
        }
    }
}

fn json(file: &Path) -> Vec<String> {
    let path = file.display().to_string();
    // Variables of this machine play no part: the file alone is checked.
    let env = |name: &str| (name == "BALANCER_CONFIG").then(|| path.clone());
    match config::read(env) {
        Ok(_) => Vec::new(),
        Err(fault) => {
            let fault = fault.to_string();
            let text = std::fs::read_to_string(file).unwrap_or_default();
            let line = line_of(&text, fault.split(':').next().unwrap_or_default());
            let line = line.map(|line| format!(":{line}")).unwrap_or_default();
            vec![format!("{path}{line}: {fault}")]
        }
    }
}
