//! The platform: its feed on a connection of its own, and votes, one after another, on another one.
//!
//! - [`messages`]: what the platform says.
//! - [`mod@feed`]: keeps a feed open.
//! - [`mod@votes`]: casts votes.

pub mod feed;
pub mod messages;
pub mod votes;

pub use feed::feed;
pub use messages::{FeedMessage, MessageError, OutcomeCounts, read_feed_line, read_rollout_state};
pub use votes::{Vote, votes};
