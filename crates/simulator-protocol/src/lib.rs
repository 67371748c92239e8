//! The simulator's line protocol.
//!
//! [`InstanceHost`] serves many instances from one stream of batches: [`fields`] splits lines, [`messages`] parses
//! what an instance is told, [`actions`] writes what it does, and [`settings`] parses what it is started with.

pub mod actions;
pub mod error;
pub mod fields;
pub mod host;
pub mod messages;
pub mod settings;

pub use error::{HostError, ProtocolError, SettingsError};
pub use host::InstanceHost;
pub use settings::Settings;
