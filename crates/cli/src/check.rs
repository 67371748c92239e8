//! `check`: reads configurations as they would be read at a start, and prints each fault.

use latchhaven_gateway::config;
use latchhaven_operator_config::line_of;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The ending of operators' scripts.
const SCRIPT_EXTENSION: &str = "star";

/// Checks each file: an operator's script by its ending, anything else as a gateway's configuration.
pub(crate) fn check(files: &[PathBuf], prints_schema: bool) -> ExitCode {
    if prints_schema {
        println!("{:#}", latchhaven_operator_config::schema());
        return ExitCode::SUCCESS;
    }
    let mut faults = 0;
    for file in files {
        let is_script = file.extension().is_some_and(|extension| extension == SCRIPT_EXTENSION);
        let found = if is_script { script_faults(file) } else { gateway_config_faults(file) };
        if found.is_empty() {
            println!("{}: fit", file.display());
        }
        for fault in &found {
            println!("{fault}");
        }
        faults += found.len();
    }
    if faults == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn script_faults(file: &Path) -> Vec<String> {
    match latchhaven_operator_config::read(file) {
        Err(faults) => faults.0.iter().map(ToString::to_string).collect(),
        Ok(loaded) => {
            let fault = latchhaven_control_plane::settings(&loaded.config).err();
            fault.into_iter().map(|fault| format!("{}: control.{fault}", file.display())).collect()
        }
    }
}

fn gateway_config_faults(file: &Path) -> Vec<String> {
    let path = file.display().to_string();
    // Variables of this machine play no part: the file alone is checked.
    let environment = |name: &str| (name == "BALANCER_CONFIG").then(|| path.clone());
    let Err(fault) = config::read(environment) else { return Vec::new() };
    let fault = fault.to_string();
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let line = line_of(&text, fault.split(':').next().unwrap_or_default());
    let line = line.map(|line| format!(":{line}")).unwrap_or_default();
    vec![format!("{path}{line}: {fault}")]
}
