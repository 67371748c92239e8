//! Builders for tests: a control plane under a simulated clock, and proxies that connect to it.

mod hosts;
mod proxy;
mod reports;
mod service;

pub(crate) use hosts::{Host, draining, host, host_address, ready};
pub(crate) use proxy::{TestProxy, exchange_all, service_with_canary};
pub(crate) use reports::{ReportedOutcomes, load_report};
pub(crate) use service::TestService;
