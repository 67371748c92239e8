//! Encodes queries, and parses responses that arrive in parts, malformed or corrupted.

use bytes::{Bytes, BytesMut};
use latchhaven_client::wire::{
    MalformedMessage, ProtocolError, Query, Response, ResponseReader, startup_message,
};
use proptest::prelude::*;

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// An error message; each `|` in `fields` is replaced by the zero byte that ends a field.
fn error(fields: &str) -> Vec<u8> {
    message(b'E', fields.replace('|', "\0").as_bytes())
}

fn row(value: &[u8]) -> Vec<u8> {
    let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    [message(b'T', b"\0\x01doc\0"), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

/// Responses: their bytes, and the expected result of parsing them.
fn responses() -> Vec<(Vec<u8>, Response)> {
    let rejected = |retry_after, is_fatal| Response::Rejected { retry_after, is_fatal };
    vec![
        ([row(b"abc"), ready()].concat(), Response::Value(Bytes::from_static(b"abc"))),
        ([message(b'R', &[0; 4]), message(b'S', b"a\0b\0"), ready()].concat(), Response::Ready),
        ([error("SERROR|C53300|Mno|D120||"), ready()].concat(), rejected(Some(120), false)),
        (error("SFATAL|C57P03|Mstarting||"), rejected(None, true)),
        (
            [error("SERROR|CXX000|Mno||"), ready()].concat(),
            Response::Failed { code: "XX000".to_string(), is_fatal: false },
        ),
        ([row(b"abc"), error("SERROR|C53300|M||"), ready()].concat(), rejected(None, false)),
    ]
}

fn read(bytes: &[u8]) -> Result<Option<Response>, ProtocolError> {
    ResponseReader::default().read(&mut BytesMut::from(bytes))
}

#[test]
fn response_is_parsed_identically_for_every_split() {
    for (bytes, expected) in responses() {
        for at in 0..=bytes.len() {
            let mut reader = ResponseReader::default();
            let mut buffer = BytesMut::from(&bytes[..at]);
            let first = reader.read(&mut buffer).unwrap();
            if at < bytes.len() {
                assert_eq!(first, None, "at {at}");
            }
            buffer.extend_from_slice(&bytes[at..]);
            let response = first.or_else(|| reader.read(&mut buffer).unwrap());
            assert_eq!(response.as_ref(), Some(&expected), "at {at}");
            assert!(buffer.is_empty());
        }
    }
}

/// A malformed error that was read as a rejection would let a request that was possibly executed be sent again.
#[test]
fn malformed_response_is_an_error_and_never_a_rejection() {
    let two_rows = [row(b"a"), row(b"b")].concat();
    let row_without_completion = [message(b'D', b"\0\x01\0\0\0\x01a"), ready()].concat();
    for (bytes, expected) in [
        (message(b'E', b"SERROR\0C53300\0Mno"), "unterminated error"),
        (message(b'E', b"SERROR\0C53300\0C57P03\0\0"), "error with two SQLSTATEs"),
        (message(b'E', b"SERROR\0Mno\0\0"), "error without a SQLSTATE"),
        (message(b'E', b"SERROR\0C53300\0M\xff\0\0"), "error field is not UTF-8"),
        (message(b'E', b"SERROR\0\0C53300\0\0"), "error field without a type"),
        (message(b'x', b""), "unknown message type"),
        ([message(b'D', b"\0\x02"), ready()].concat(), "truncated row"),
        ([message(b'D', b"\0\x01\xff\xff\xff\xff"), ready()].concat(), "row without exactly one value"),
        (two_rows, "second row, or row after an error"),
        (row_without_completion, "row without command completion"),
        (vec![b'D', 0, 0, 0, 1], "length field below 4"),
    ] {
        let error = read(&bytes).expect_err(expected);
        assert_eq!(error.to_string(), format!("malformed message: {expected}"));
    }
    let too_long = read(&[b'D', 0x7f, 0xff, 0xff, 0xff]).expect_err("too long");
    assert_eq!(
        too_long.to_string(),
        "a message of 2147483647 bytes exceeds the limit of 1048576 bytes, or 2097152 for a response"
    );
    assert_eq!(read(&message(b'x', b"")), Err(ProtocolError::Malformed(MalformedMessage::UnknownKind)));
}

#[test]
fn query_text_matches_the_protocol_and_is_none_for_invalid_names() {
    let read = Query {
        id: "9b1f",
        class: "basket",
        tenant: Some("acme"),
        item: "7f3a",
        document: None,
        key: None,
        time_remaining: 480,
        is_retry: false,
    };
    let text = |query: &Query| {
        query.encode().map(|bytes| String::from_utf8(bytes[5..bytes.len() - 1].to_vec()).unwrap())
    };
    assert_eq!(
        text(&read).unwrap(),
        "SELECT doc FROM items WHERE id = '7f3a' /* id=9b1f,c=basket,t=acme,d=480 */"
    );
    let write =
        Query { document: Some(&[0x9f, 3]), key: Some("5c0f"), tenant: None, is_retry: true, ..read.clone() };
    let expected = concat!(
        r"INSERT INTO items (id, doc) VALUES ('7f3a', '\x9f03') RETURNING doc",
        " /* id=9b1f,c=basket,d=480,k=5c0f,r=1 */"
    );
    assert_eq!(text(&write).unwrap(), expected);
    for name in ["", "a'b", "a,b", "a*/", "a b", "ä", &"x".repeat(200)] {
        assert_eq!(text(&Query { item: name, ..read.clone() }), None, "{name}");
        assert_eq!(text(&Query { key: Some(name), ..read.clone() }), None, "{name}");
    }
}

#[test]
fn messages_start_with_their_kind_and_length() {
    let query = Query {
        id: "1",
        class: "c",
        tenant: None,
        item: "i",
        document: None,
        key: None,
        time_remaining: 2,
        is_retry: false,
    };
    let encoded = query.encode().unwrap();
    let text = b"SELECT doc FROM items WHERE id = 'i' /* id=1,c=c,d=2 */\0";
    assert_eq!(encoded, message(b'Q', text));
    assert_eq!(&startup_message()[..], b"\0\0\0\x20\0\x03\0\0user\0app\0database\0shop\0\0");
}

proptest! {
    #![proptest_config(latchhaven_proptest_config::deterministic())]

    #[test]
    fn any_bytes_are_parsed_without_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300), at in 0usize..300
    ) {
        let at = at.min(bytes.len());
        let mut reader = ResponseReader::default();
        let mut buffer = BytesMut::from(&bytes[..at]);
        if reader.read(&mut buffer).is_ok() {
            buffer.extend_from_slice(&bytes[at..]);
            while let Ok(Some(_)) = reader.read(&mut buffer) {}
        }
    }

    #[test]
    fn corrupted_response_is_never_parsed_as_a_value_of_another_length(
        index in 0usize..6, at in 0usize..80, replacement: u8
    ) {
        let (mut bytes, expected) = responses().swap_remove(index);
        let at = at % bytes.len();
        bytes[at] = replacement;
        if let (Ok(Some(Response::Value(value))), Response::Value(original)) = (read(&bytes), expected) {
            prop_assert_eq!(value.len(), original.len());
        }
    }
}
