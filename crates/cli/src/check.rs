//! The `check` command: validates configuration files by the rules that apply at startup, and prints each error.

use latchhaven_gateway::config;
use latchhaven_operator_config::line_of;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The file extension of operators' scripts.
const SCRIPT_EXTENSION: &str = "star";

/// Validates each file: an operator's script if it has [`SCRIPT_EXTENSION`], otherwise a gateway's configuration. The
/// exit code is a failure if there is any error. With `prints_schema`, prints the JSON schema of operators' scripts
/// instead.
pub(crate) fn check(files: &[PathBuf], prints_schema: bool) -> ExitCode {
    if prints_schema {
        println!("{:#}", latchhaven_operator_config::schema());
        return ExitCode::SUCCESS;
    }
    let mut error_count = 0;
    for file in files {
        let is_script = file.extension().is_some_and(|extension| extension == SCRIPT_EXTENSION);
        let errors = if is_script { script_errors(file) } else { gateway_config_errors(file) };
        if errors.is_empty() {
            println!("{}: fit", file.display());
        }
        for error in &errors {
            println!("{error}");
        }
        error_count += errors.len();
    }
    if error_count == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn script_errors(file: &Path) -> Vec<String> {
    match latchhaven_operator_config::read(file) {
        Err(errors) => errors.0.iter().map(ToString::to_string).collect(),
        Ok(loaded) => {
            let error = latchhaven_control_plane::parse_settings(&loaded.config).err();
            error.into_iter().map(|error| format!("{}: control.{error}", file.display())).collect()
        }
    }
}

fn gateway_config_errors(file: &Path) -> Vec<String> {
    let path = file.display().to_string();
    // Only the file is validated: other variables in the environment of this process would override its values.
    let environment = |name: &str| (name == "BALANCER_CONFIG").then(|| path.clone());
    let Err(error) = config::read(environment) else { return Vec::new() };
    let error = error.to_string();
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let key = error.split(':').next().unwrap_or_default();
    let line = line_of(&text, key);
    let line = line.map(|line| format!(":{line}")).unwrap_or_default();
    vec![format!("{path}{line}: {error}")]
}
