//! Configuration files of operators.
//!
//! A file is a Starlark script (functions, loops, `load` of files in the same folder) that sets `control`, a dict. A
//! script is evaluated within limits of size, steps, memory and depth, without a clock or random numbers. The dict is
//! parsed into [`ControlConfig`], and all keys are checked except those below `settings`, which the control service
//! checks.
//!
//! - `control_config`: the structs that a dict is parsed into, and their schema.
//! - `script`: evaluates a script and its loads.
//! - `error`: errors in files, with their locations.
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

/// A configuration file that was evaluated and checked.
#[derive(Clone, Debug)]
pub struct LoadedConfig {
    /// The configuration, with defaults for keys that the script did not set.
    pub config: ControlConfig,
    /// The dict that the script set, as JSON and without defaults.
    pub json: Value,
}

/// Reads, evaluates and checks a configuration file.
///
/// # Errors
/// The file cannot be read, evaluated or parsed (one error), or values are out of range (an error for each).
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
        let errors = report.iter().map(|(path, error)| {
            let key = key_of_field(&path.to_string());
            let message = format!("{error}, found {}", found_value(&value, &key));
            error_at(format!("{CONFIG_NAME}.{key}"), message)
        });
        ConfigErrors(errors.collect())
    })?;
    Ok(LoadedConfig { config, json: value })
}

/// Describes the value of the key with this path for an error: a list by its length, any other value as JSON.
fn found_value(config: &Value, key: &str) -> String {
    match config.pointer(&format!("/{}", key.replace('.', "/"))) {
        Some(Value::Array(values)) => format!("{} values", values.len()),
        Some(value) => value.to_string(),
        None => "no value".to_string(),
    }
}

/// Returns the full path of the key that the deserializer did not accept. If the field is unknown, only `message`
/// contains its name, and `path` ends at its parent.
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

/// Returns the JSON schema of `control`, which is published in `docs/control-schema.json`.
#[must_use]
pub fn schema() -> Value {
    schemars::schema_for!(ControlConfig).to_value()
}
