//! The simulator's line protocol.
//!
//! [`InstanceHost`] runs many policy instances on one stream of messages, which are grouped into batches by time:
//! [`fields`] splits a line into fields, [`messages`] parses the messages to an instance, [`actions`] writes its
//! actions, and [`settings`] parses its configuration. Only these modules contain the names that the simulator uses for
//! messages, fields and settings.

#![warn(clippy::pedantic)]
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "versions are checked to be integers below 65536"
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
