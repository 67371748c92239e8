//! The control plane with proxies that cache resources as real ones do, under a simulated clock.

mod canary_shares;
mod canary_verdicts;
mod publication;
mod restarts;
mod streams;
mod support;
