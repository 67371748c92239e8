//! The control plane with proxies that cache as real ones do, under a clock of the test's own.

mod canary_shares;
mod canary_verdicts;
mod publication;
mod restarts;
mod streams;
mod support;
