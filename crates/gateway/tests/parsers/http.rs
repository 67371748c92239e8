//! The parser for HTTP responses, with input split at every position, and with malformed and oversized input.

use crate::support::at_every_split;
use bytes::BytesMut;
use latchhaven_gateway::proto::http::{self, BodyBuffer, ResponseParser, ResponsePart};
use rstest::rstest;

/// Joins adjacent parts of a body, as their boundaries depend on how the input was split.
fn join_body_parts(parts: Vec<ResponsePart>) -> Vec<ResponsePart> {
    let mut all: Vec<ResponsePart> = Vec::new();
    for part in parts {
        match (all.last_mut(), part) {
            (Some(ResponsePart::Body(body)), ResponsePart::Body(more)) => {
                *body = [&body[..], &more[..]].concat().into();
            }
            (_, part) => all.push(part),
        }
    }
    all
}

#[test]
fn response_is_independent_of_input_splits() {
    let counted = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nA: b\r\n\r\n";
    let empty = "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let stream = [counted, chunked, empty].concat();
    let next = |reader: &mut ResponseParser, buffer: &mut BytesMut| reader.next(buffer).unwrap();
    let parsed = at_every_split(stream.as_bytes(), ResponseParser::default, next, join_body_parts);
    let head = |status, closes_connection| ResponsePart::Head { status, closes_connection };
    let body = |text: &'static str| ResponsePart::Body(text.into());
    let expected = [
        head(200, false),
        body("hello"),
        ResponsePart::End,
        head(200, false),
        body("hello!"),
        ResponsePart::End,
        head(503, true),
        ResponsePart::End,
    ];
    assert_eq!(parsed, expected);
}

#[rstest]
#[case::not_http("220 ready\r\n\r\n".to_string())]
#[case::no_status("HTTP/1.1 2x0 OK\r\n\r\n".to_string())]
#[case::negative_length("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n".to_string())]
#[case::differing_lengths("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n".to_string())]
#[case::header_without_colon("HTTP/1.1 200 OK\r\nnonsense\r\n\r\n".to_string())]
#[case::head_too_long(format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(20_000)))]
#[case::chunk_size_not_hex("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n".to_string())]
#[case::chunk_size_too_many_digits(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n".to_string()
)]
#[case::chunk_size_line_too_long(
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", "0".repeat(300))
)]
#[case::chunk_longer_than_its_size(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\naXX\r\n".to_string()
)]
fn response_malformed_returns_an_error(#[case] bytes: String) {
    let mut reader = ResponseParser::default();
    let mut buffer = BytesMut::from(bytes.as_bytes());
    let mut part = reader.next(&mut buffer);
    while matches!(part, Ok(Some(_))) {
        part = reader.next(&mut buffer);
    }
    assert!(part.is_err());
}

#[test]
fn body_is_bounded_and_split_into_lines() {
    let mut body = BodyBuffer::default();
    body.push(b"one\r\n\ntw").unwrap();
    assert_eq!(
        (body.next_line(), body.next_line(), body.next_line()),
        (Some("one".into()), Some("".into()), None)
    );
    body.push(b"o\n").unwrap();
    assert_eq!(body.next_line(), Some("two".into()));
    assert!((0..100).any(|_| body.push(&vec![b'x'; 65536]).is_err()));
    assert_eq!(http::get("h", "/p"), "GET /p HTTP/1.1\r\nHost: h\r\nAccept: application/json\r\n\r\n");
}
