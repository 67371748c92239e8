//! Which errors of `accept` are retried immediately, and which after the retry interval.

use latchhaven_listener::{ErrorScope, accept_with_retry};
use rstest::rstest;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

const RETRY_INTERVAL: Duration = Duration::from_millis(20);
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const ENOBUFS: i32 = 105;
const EINTR: i32 = 4;
const ECONNABORTED: i32 = 103;

#[rstest]
#[case(ECONNABORTED, ErrorScope::Connection, Duration::ZERO)]
#[case(EINTR, ErrorScope::Connection, Duration::ZERO)]
#[case(EMFILE, ErrorScope::Process, RETRY_INTERVAL)]
#[case(ENFILE, ErrorScope::Process, RETRY_INTERVAL)]
#[case(ENOBUFS, ErrorScope::Process, RETRY_INTERVAL)]
#[tokio::test(start_paused = true)]
async fn failed_accept_is_retried_after_the_delay_of_its_scope(
    #[case] code: i32, #[case] scope: ErrorScope, #[case] delay: Duration,
) {
    let started_at = Instant::now();
    let mut results = vec![Ok("connection"), Err(code), Err(code)];
    let mut scopes = Vec::new();
    let accepted = accept_with_retry(
        async || results.pop().expect("a result").map_err(io::Error::from_raw_os_error),
        RETRY_INTERVAL,
        |_, scope| scopes.push(scope),
    )
    .await;
    assert_eq!(accepted, "connection");
    assert_eq!(scopes, [scope, scope]);
    assert_eq!(started_at.elapsed(), 2 * delay);
}
