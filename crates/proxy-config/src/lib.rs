//! What proxies are told of the decisions. All modules are pure: no I/O, no clock, no chance.
//!
//! - [`version`]: what a handout is based on, how two such states compare, how a label tells it.
//! - [`freshness`]: how far the world is known to be, and whether anything may be handed out at all.
//! - [`canary_share`]: the share of a build on trial that keeps the cap though each proxy draws by chance.
//! - [`share_ledger`]: which shares each proxy may still be using, and what that leaves to the others.
//! - [`load_reports`]: load reports of proxies, checked and turned into tallies and figures on instances.
//! - [`proxy_config`]: the outlook of the decisions turned into clusters, endpoints and routes.

// Until its turn: docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, clippy::too_many_lines, missing_docs)]

pub mod canary_share;
pub mod freshness;
pub mod load_reports;
pub mod proxy_config;
pub mod share_ledger;
pub mod version;
