//! Connections to the platform: one receives the feed of rollout states and outcome counts, a second one sends votes,
//! one after another.
//!
//! - [`messages`]: parses the platform's messages.
//! - [`feed`]: receives the feed, and reopens it when it is lost.
//! - [`votes`]: casts votes.

pub mod feed;
pub mod messages;
pub mod votes;

pub use feed::receive_feed;
pub use messages::{FeedMessage, MessageError, OutcomeCounts, parse_feed_line, parse_rollout_state};
pub use votes::{Vote, cast_votes};

use super::DriverEvent;
use crate::limits::MAX_PENDING_VOTES;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Starts the tasks of the feed and of votes; call within a `LocalSet`. Returns the queue of votes to be cast.
///
/// `rng` seeds the random generator of the feed's backoff. `address` is the platform's current address, `None` while
/// no platform is configured. `vote_timeout` is the time from [`Vote::cast_at`] after which a vote without a result
/// fails. Results and messages of the feed are sent to `events`.
pub fn spawn_tasks(
    rng: &mut Pcg64Mcg, address: watch::Receiver<Option<SocketAddr>>, vote_timeout: Duration,
    events: &mpsc::Sender<DriverEvent>,
) -> mpsc::Sender<Vote> {
    let (vote_sender, vote_receiver) = mpsc::channel(MAX_PENDING_VOTES);
    let feed_rng = Pcg64Mcg::from_rng(rng);
    tokio::task::spawn_local(receive_feed(address.clone(), feed_rng, events.clone()));
    tokio::task::spawn_local(cast_votes(address, vote_timeout, vote_receiver, events.clone()));
    vote_sender
}
