//! Endpoint lists and feed lines with invalid JSON or invalid values.

use latchhaven_gateway::net::{list, platform};
use rstest::rstest;

#[rstest]
#[case::control_character("\u{1}{}")]
#[case::truncated(r#"{"type":"ROLLOUT","object":{"version":4"#)]
#[case::no_object(r#"{"type":"ROLLOUT"}"#)]
#[case::no_type(r#"{"object":{"version":42}}"#)]
#[case::cap_above_one(
    r#"{"type":"ROLLOUT","object":{"version":4,"step":1,"status":"COMPLETE","maxWeight":28}}"#
)]
#[case::negative_age(
    r#"{"type":"ROLLOUT","object":{"version":4,"step":1,"status":"COMPLETE","maxWeight":1,"observedAgoMs":-5}}"#
)]
#[case::more_failures_than_attempts(
    r#"{"type":"SAMPLE","object":{"version":4,"kind":"a","requests":1,"failures":2,"avgMs":1}}"#
)]
#[case::negative_latency(
    r#"{"type":"SAMPLE","object":{"version":4,"kind":"a","requests":1,"failures":0,"avgMs":-1}}"#
)]
#[case::trailing_data("{}x")]
fn feed_line_malformed_is_rejected(#[case] line: &str) {
    assert!(platform::parse_feed_line(line.as_bytes()).is_err());
}

#[rstest]
#[case::trailing_data(r#"{"seq":7,"whole":true,"hosts":[]}x"#)]
#[case::no_name(r#"{"seq":7,"whole":true,"hosts":[{"host":"","dial":"127.0.0.1:5","health":"up"}]}"#)]
#[case::negative_share(
    r#"{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:5","health":"up","share":-1}]}"#
)]
fn list_malformed_is_rejected(#[case] text: &str) {
    assert!(list::parse(text.as_bytes()).is_err());
}
