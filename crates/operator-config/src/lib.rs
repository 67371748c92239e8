//! Configuration files of operators.
//!
//! A file is a Starlark script (functions, loops, `load` of files in the same folder) that sets `control`, a dict. It is
//! evaluated within limits of size, steps, memory and depth, without a clock or random numbers, and read into
//! [`ControlConfig`], whose every key is checked. Settings that the platform hands over stay JSON and are read
//! elsewhere.
//!
//! - `control_config`: the records and their schema.
//! - `script`: evaluates a script and its loads.
//! - `error`: what is wrong with a file, and where.

mod control_config;
mod error;
mod script;

pub use control_config::{ControlConfig, OutcomeSource, XdsConfig};
pub use error::{ConfigError, ConfigErrors, ConfigProblem, LoadError};

use garde::Validate;
use script::EvaluatedScript;
use serde_json::Value;
use std::path::Path;

/// The name that a script has to set.
const CONFIG_NAME: &str = "control";

/// A file as read.
#[derive(Clone, Debug)]
pub struct LoadedConfig {
    /// The checked records.
    pub config: ControlConfig,
    /// The value that the script set, as it was before it was read into records.
    pub json: Value,
}

/// Reads, evaluates and checks a file.
///
/// # Errors
/// All errors that were found, each with file, line where there is one, and key.
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
        let errors =
            report.iter().map(|(key, error)| error_at(format!("{CONFIG_NAME}.{key}"), error.to_string()));
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

/// The first line, from 1, that names the last part of a key, in a script or in JSON.
pub fn line_of(text: &str, key: &str) -> Option<usize> {
    let is_name = |part: &&str| part.parse::<usize>().is_err();
    let last_name = key.rsplit('.').find(is_name)?;
    let name = last_name.split('[').next()?;
    let quoted = format!("\"{name}\"");
    let assigned = format!("{name} =");
    let names_key = |line: &str| line.contains(&quoted) || line.trim_start().starts_with(&assigned);
    let index = text.lines().position(names_key)?;
    Some(index + 1)
}

/// The JSON schema of `control`, as published in `docs/control-schema.json`.
pub fn schema() -> Value {
    schemars::schema_for!(ControlConfig).to_value()
}
