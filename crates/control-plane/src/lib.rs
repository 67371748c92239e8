//! The control service: one `Choice`, fed by the list, the platform and proxies' load reports, handed out over xDS.
//!
//! - [`control_plane`]: what is taken in and what follows from it, without sockets, disk or clock.
//! - [`state_store`]: what is kept on disk, by a thread of its own.
//! - [`serve`]: the driver round both.

// Until its turn: docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, clippy::too_many_lines, missing_docs)]

pub mod control_plane;
mod driver;
pub mod state_store;

pub use driver::{serve, settings};
