//! The settings in a configuration: the same object that the platform sends to gateways.

use latchhaven_operator_config::ControlConfig;
use latchhaven_simulator_protocol::{Settings, SettingsError, settings};

/// The settings of a configuration are invalid; the text begins with the key.
#[derive(Debug, thiserror::Error)]
#[error("settings.{0}")]
pub struct ControlSettingsError(#[from] SettingsError);

/// Reads and checks the settings of a configuration.
///
/// # Errors
/// The settings are invalid; the text begins with the key.
pub fn parse_settings(config: &ControlConfig) -> Result<Settings, ControlSettingsError> {
    Ok(settings::parse(&config.settings.to_string())?)
}
