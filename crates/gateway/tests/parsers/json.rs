//! Splitting of streams into JSON objects, with input split at every position, and with malformed and oversized
//! input.

use crate::support::at_every_split;
use bytes::{Bytes, BytesMut};
use latchhaven_gateway::proto::http;
use latchhaven_gateway::proto::json::{JsonFrame, JsonFramer};
use rstest::rstest;

#[test]
fn json_objects_are_independent_of_lines_and_input_splits() {
    let text = "\r\n  {\"a\":[{\"b\":\"}{\\\"\\\\\"},\r\n\t{\"c\":{}}\n]}  {\"d\":1}\n";
    let next = |framer: &mut JsonFramer, buffer: &mut BytesMut| {
        framer.push(&buffer.split()).unwrap();
        framer.next_frame().unwrap()
    };
    let frames = at_every_split(text.as_bytes(), JsonFramer::default, next, |frames| frames);
    let object = |text: &'static str| JsonFrame::Object(Bytes::from_static(text.as_bytes()));
    let first = object("{\"a\":[{\"b\":\"}{\\\"\\\\\"},\r\n\t{\"c\":{}}\n]}");
    assert_eq!(frames, [JsonFrame::LineEnd, first, object("{\"d\":1}"), JsonFrame::LineEnd]);
}

#[rstest]
#[case::not_json("x")]
#[case::an_array("[]")]
#[case::truncated_before_the_next_object("{\"seq\":7,\n{\"seq\":8}")]
#[case::truncated_within_an_array_entry("{\"hosts\":[{\"host\":\"a\",{\"seq\":8}")]
#[case::truncated_within_a_string("{\"seq\":\"7\n")]
#[case::mismatched_bracket("{\"a\":[}")]
#[case::too_deep("{\"a\":[[[[[[[[[[[[[[[[[[[[")]
fn json_stream_malformed_returns_an_error(#[case] text: &str) {
    let mut framer = JsonFramer::default();
    framer.push(text.as_bytes()).unwrap();
    assert!(framer.next_frame().is_err(), "{text}");
}

#[test]
fn json_white_space_is_not_buffered_and_an_oversized_object_is_rejected() {
    let mut framer = JsonFramer::default();
    for _ in 0..40 {
        framer.push(&vec![b' '; 100_000]).unwrap();
        assert_eq!(framer.next_frame(), Ok(None));
    }
    framer.push(b"{\"a\":\"").unwrap();
    let oversized = (0..20).try_for_each(|_| {
        framer.push(&vec![b'x'; 100_000])?;
        framer.next_frame().map(|frame| assert_eq!(frame, None))
    });
    assert_eq!(oversized, Err(http::ParseError::TooLong));
}
