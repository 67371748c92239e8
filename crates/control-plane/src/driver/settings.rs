//! The `settings` object of a configuration. The platform sends the same object to gateways.

use latchhaven_operator_config::ControlConfig;
use latchhaven_simulator_protocol::{Settings, SettingsError, settings};

/// The `settings` object of a configuration is invalid. The text begins with the path of the invalid key.
#[derive(Debug, thiserror::Error)]
#[error("settings.{0}")]
pub struct ControlSettingsError(#[from] SettingsError);

/// Parses and checks the `settings` object of a configuration.
///
/// # Errors
/// The object is invalid.
pub fn parse_settings(config: &ControlConfig) -> Result<Settings, ControlSettingsError> {
    Ok(settings::parse(&config.settings.to_string())?)
}
