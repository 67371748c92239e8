//! The settings of a plan: the object that the platform gives gateways.

use latchhaven_operator_config::ControlConfig;
use latchhaven_simulator_protocol::{Settings, SettingsError, settings};

/// What is wrong with the settings of a plan; the text begins with the key.
#[derive(Debug, thiserror::Error)]
#[error("settings.{0}")]
pub struct ControlSettingsError(#[from] SettingsError);

/// Reads and checks the settings of a config.
///
/// # Errors
/// What is wrong with them, beginning with the key.
pub fn settings(config: &ControlConfig) -> Result<Settings, ControlSettingsError> {
    Ok(settings::parse(&config.settings.to_string())?)
}
