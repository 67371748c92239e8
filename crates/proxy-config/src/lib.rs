//! What proxies are told of the decisions. All modules are pure: no I/O, no clock, no chance.
//!
//! - [`order`]: what a handout is based on, how two such states compare, how a label tells it.
//! - [`world`]: how far the world is known to be, and whether anything may be handed out at all.
//! - [`shares`]: the share of a build on trial that keeps the cap though each proxy draws by chance.
//! - [`ledger`]: which shares each proxy may still be using, and what that leaves to the others.
//! - [`evidence`]: load reports of proxies, checked and turned into tallies and figures on instances.
//! - [`handout`]: the outlook of the decisions turned into clusters, endpoints and routes.

pub mod evidence;
pub mod handout;
pub mod ledger;
pub mod order;
pub mod shares;
pub mod world;
