//! The settings of a plan: the object that the platform gives gateways.

use latchhaven_operator_config::Plan;
use latchhaven_simulator_protocol::WireFault;
use latchhaven_simulator_protocol::terms::{self, Terms};

/// Why the settings of a plan are not valid. The text begins with the key.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A key within the settings is missing, unknown, or has a value that is not valid.
    #[error("settings.{0}")]
    Key(String),
    /// The settings cannot be read as a whole.
    #[error("settings: {0}")]
    Unreadable(WireFault),
}

/// Reads and checks the settings of a plan.
///
/// # Errors
/// What is wrong with them, beginning with the key.
pub fn settings(plan: &Plan) -> Result<Terms, SettingsError> {
    terms::read(&plan.settings.to_string()).map_err(|fault| match fault {
        WireFault::Settings(reason) => SettingsError::Key(reason),
        fault => SettingsError::Unreadable(fault),
    })
}
