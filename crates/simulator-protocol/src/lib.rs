//! The simulator's line protocol.
//!
//! [`InstanceHost`] serves many instances from one stream of batches: [`fields`] splits lines, [`messages`] parses
//! messages to an instance, [`actions`] writes its actions, and [`settings`] parses its configuration. The words of the
//! simulator occur in these modules only.

#![warn(clippy::pedantic)]
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "versions are checked to be small integers"
)]
#![allow(clippy::struct_excessive_bools, reason = "each flag is a key of the settings")]

pub mod actions;
pub mod error;
pub mod fields;
pub mod host;
pub mod messages;
pub mod settings;

pub use error::{HostError, ProtocolError, SettingsError};
pub use host::InstanceHost;
pub use settings::Settings;
