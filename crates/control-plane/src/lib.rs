//! The control service: one `Choice`, fed by the list, the platform and proxies' load reports, handed out over xDS.
//!
//! - [`core`]: what is taken in and what follows from it, without sockets, disk or clock.
//! - [`keep`]: what is kept on disk, by a thread of its own.
//! - [`serve`]: the driver round both.

pub mod core;
mod driver;
pub mod keep;

pub use driver::{serve, settings};
