//! latchhaven: routes txns while servers' software is replaced, and votes builds on or back.
//!
//! [`choice`] holds all decisions, [`api`] what goes in and out, [`state`] plain records.

pub mod api;
pub mod choice;
pub mod state;
