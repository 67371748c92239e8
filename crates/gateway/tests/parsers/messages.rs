//! Malformed lists, and malformed lines of the feed.

use latchhaven_gateway::net::{list, platform};
use rstest::rstest;

#[rstest]
#[case::noise("\u{1}{}")]
#[case::a_part(r#"{"type":"ROLLOUT","object":{"version":4"#)]
#[case::no_object(r#"{"type":"ROLLOUT"}"#)]
#[case::no_type(r#"{"object":{"version":42}}"#)]
#[case::another_cap(
    r#"{"type":"ROLLOUT","object":{"version":4,"step":1,"status":"COMPLETE","maxWeight":28}}"#
)]
#[case::not_yet(
    r#"{"type":"ROLLOUT","object":{"version":4,"step":1,"status":"COMPLETE","maxWeight":1,"observedAgoMs":-5}}"#
)]
#[case::more_failures(
    r#"{"type":"SAMPLE","object":{"version":4,"kind":"a","requests":1,"failures":2,"avgMs":1}}"#
)]
#[case::negative(
    r#"{"type":"SAMPLE","object":{"version":4,"kind":"a","requests":1,"failures":0,"avgMs":-1}}"#
)]
#[case::noise_behind("{}x")]
fn feed_line_malformed_is_refused(#[case] line: &str) {
    assert!(platform::read_feed_line(line.as_bytes()).is_err());
}

#[rstest]
#[case::noise_behind(r#"{"seq":7,"whole":true,"hosts":[]}x"#)]
#[case::no_name(r#"{"seq":7,"whole":true,"hosts":[{"host":"","dial":"127.0.0.1:5","health":"up"}]}"#)]
#[case::below_nothing(
    r#"{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:5","health":"up","share":-1}]}"#
)]
fn list_malformed_is_refused(#[case] text: &str) {
    assert!(list::read(text.as_bytes()).is_err());
}
