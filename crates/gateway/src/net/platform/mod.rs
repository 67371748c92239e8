//! The platform: its feed on one connection, and votes, one after another, on a second one.
//!
//! - [`messages`]: the platform's messages.
//! - [`mod@feed`]: receives the feed, and reopens it when it is lost.
//! - [`mod@votes`]: casts votes.

pub mod feed;
pub mod messages;
pub mod votes;

pub use feed::feed;
pub use messages::{FeedMessage, MessageError, OutcomeCounts, parse_feed_line, parse_rollout_state};
pub use votes::{Vote, votes};

use super::DriverEvent;
use crate::limits::MAX_PENDING_VOTES;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Starts the feed and the task that casts votes, within a `LocalSet`. The feed's random generator is drawn from `rng`.
/// Returns the queue of votes. `vote_timeout`: the longest time from casting a vote to its result.
pub fn spawn_tasks(
    rng: &mut Pcg64Mcg, address: watch::Receiver<Option<SocketAddr>>, vote_timeout: Duration,
    events: &mpsc::Sender<DriverEvent>,
) -> mpsc::Sender<Vote> {
    let (vote_sender, vote_receiver) = mpsc::channel(MAX_PENDING_VOTES);
    let feed_rng = Pcg64Mcg::from_rng(rng);
    tokio::task::spawn_local(feed(address.clone(), feed_rng, events.clone()));
    tokio::task::spawn_local(votes(address, vote_timeout, vote_receiver, events.clone()));
    vote_sender
}
