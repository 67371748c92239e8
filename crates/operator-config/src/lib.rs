//! Configuration files of operators.
//!
//! A file is a Starlark script (functions, loops, `load` of files in the same folder) that sets `control`, a dict. It is
//! evaluated within limits of size, steps, memory and depth, without a clock or random numbers, and parsed into
//! [`ControlConfig`], whose keys are all checked. The platform's settings stay JSON; the control service parses them.
//!
//! - `control_config`: the records and their schema.
//! - `script`: evaluates a script and its loads.
//! - `error`: the errors of a file, with their locations.
//! - `location`: finds the line of a key.
//! - `limits`: limits of files and their evaluation, and defaults.

#![warn(clippy::pedantic)]

mod control_config;
mod error;
mod limits;
mod location;
mod script;

pub use control_config::{ControlConfig, OutcomeSource, XdsConfig};
pub use error::{ConfigError, ConfigErrors, ConfigProblem, LoadError};
pub use location::line_of;

use control_config::key_of_field;
use garde::Validate;
use script::EvaluatedScript;
use serde_json::Value;
use std::path::Path;

/// The name that a script must set.
const CONFIG_NAME: &str = "control";

/// A parsed file.
#[derive(Clone, Debug)]
pub struct LoadedConfig {
    /// The checked records.
    pub config: ControlConfig,
    /// The value that the script set, from which the records were parsed.
    pub json: Value,
}

/// Reads, evaluates and checks a file.
///
/// # Errors
/// All errors of the file, each with the file, the line if it is known, and the key.
pub fn read(path: &Path) -> Result<LoadedConfig, ConfigErrors> {
    let EvaluatedScript { value, text } = script::evaluate(path, CONFIG_NAME)?;
    let error_at = |key: String, message: String| ConfigError {
        file: path.display().to_string(),
        line: line_of(&text, &key),
        key: Some(key),
        problem: ConfigProblem::Invalid(message),
    };
    let config: ControlConfig = serde_path_to_error::deserialize(&value).map_err(|error| {
        let message = error.inner().to_string();
        error_at(full_key(&error.path().to_string(), &message), message)
    })?;
    config.validate().map_err(|report| {
        let errors = report
            .iter()
            .map(|(path, error)| error_at(key_of_field(&format!("{CONFIG_NAME}.{path}")), error.to_string()));
        ConfigErrors(errors.collect())
    })?;
    Ok(LoadedConfig { config, json: value })
}

/// The key at which a value does not fit, from its path and the message of the deserializer. An unknown field is named
/// only in the message, below the path.
fn full_key(path: &str, message: &str) -> String {
    let is_unknown_field = message.starts_with("unknown field");
    let unknown_field = if is_unknown_field { message.split('`').nth(1) } else { None };
    match (path, unknown_field) {
        (".", Some(field)) => format!("{CONFIG_NAME}.{field}"),
        (".", None) => CONFIG_NAME.to_string(),
        (path, Some(field)) if !path.ends_with(field) => format!("{CONFIG_NAME}.{path}.{field}"),
        (path, _) => format!("{CONFIG_NAME}.{path}"),
    }
}

/// The JSON schema of `control`, as published in `docs/control-schema.json`.
#[must_use]
pub fn schema() -> Value {
    schemars::schema_for!(ControlConfig).to_value()
}
