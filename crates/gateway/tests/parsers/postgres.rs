//! The parsers of the Postgres protocol, with input split at every position, and with malformed and oversized
//! messages.

use crate::support::{at_every_split, message, startup};
use bytes::{Bytes, BytesMut};
use latchhaven_gateway::proto::pg::{
    self, BackendMessage, BackendParser, FrontendMessage, FrontendParser, ParseError,
};
use latchhaven_policy::LoadReport;
use rstest::rstest;

#[test]
fn frontend_is_independent_of_input_splits() {
    let ssl = [0, 0, 0, 8, 4, 210, 22, 47];
    let stream = [
        &ssl[..],
        &startup(),
        &pg::encode::query("SELECT 1"),
        &message(b'P', b"\0a\0\0\0"),
        &message(b'B', b"\0\0\0\0\0\0\0\0"),
        &message(b'S', b""),
        &pg::encode::query(""),
        &message(b'X', b""),
    ]
    .concat();
    let next = |frontend: &mut FrontendParser, buffer: &mut BytesMut| frontend.next(buffer).unwrap();
    let messages = at_every_split(&stream, FrontendParser::default, next, |messages| messages);
    let query = |text: &'static str| FrontendMessage::Query(Bytes::from_static(text.as_bytes()));
    let expected = [
        FrontendMessage::EncryptionRequest,
        FrontendMessage::Startup,
        query("SELECT 1"),
        FrontendMessage::ExtendedQuery,
        FrontendMessage::Sync,
        query(""),
        FrontendMessage::Terminate,
    ];
    assert_eq!(messages, expected);
}

#[test]
fn backend_is_independent_of_input_splits() {
    let description = message(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let (row, complete) = (message(b'D', b"\0\x01\0\0\0\x02\x9f\x03"), message(b'C', b"SELECT 1\0"));
    let failed = message(b'E', b"SERROR\0C53300\0Mfull\0\0");
    let (load, notice) = (message(b'S', b"load\0inflight=7\0"), message(b'N', b"SNOTICE\0\0"));
    let stream = [
        &message(b'R', &[0; 4])[..],
        pg::encode::READY,
        &description,
        &notice,
        &row,
        &load,
        &complete,
        pg::encode::READY,
        &failed,
        pg::encode::READY,
    ]
    .concat();
    let next = |backend: &mut BackendParser, buffer: &mut BytesMut| backend.next(buffer).unwrap();
    let messages = at_every_split(&stream, BackendParser::default, next, |messages| messages);
    let value = [description, row, complete].map(Bytes::from);
    let load = BackendMessage::Parameter { name: "load".to_string(), value: "inflight=7".to_string() };
    let failed = BackendMessage::Error("53300".to_string());
    assert_eq!(
        messages,
        [
            BackendMessage::Ready,
            load,
            BackendMessage::Row(value),
            BackendMessage::Ready,
            failed,
            BackendMessage::Ready
        ]
    );
    let report = LoadReport::from_iter([("inflight".into(), 7.0), ("util".into(), 0.61)]);
    assert_eq!(pg::parse_load_report("inflight=7,util=0.61"), report);
    for malformed in
        ["inflight=7,util=x", "util=inf", "inflight=-3", "inflight=1e300", "inflight=7,", "=7", "\u{1}", ""]
    {
        assert_eq!(pg::parse_load_report(malformed), LoadReport::default(), "{malformed}");
    }
}

#[rstest]
#[case::startup_too_long(b"\0\x01\0\0\0\x03\0\0".to_vec(), ParseError::Length(65536))]
#[case::startup_too_short(b"\0\0\0\x07".to_vec(), ParseError::Length(7))]
#[case::old_version(b"\0\0\0\x08\0\x02\0\0".to_vec(), ParseError::Version(131_072))]
#[case::http([&startup()[..], b"GET / HTTP/1.1\r\n"].concat(), ParseError::Type(b'G'))]
#[case::query_too_long([&startup()[..], b"Q\0\x04\0\0"].concat(), ParseError::Length(262_144))]
#[case::length_below_that_of_its_field([&startup()[..], b"Q\0\0\0\x03"].concat(), ParseError::Length(3))]
fn frontend_input_malformed_returns_the_error(#[case] bytes: Vec<u8>, #[case] expected: ParseError) {
    let mut frontend = FrontendParser::default();
    let mut buffer = BytesMut::from(&bytes[..]);
    let error = loop {
        match frontend.next(&mut buffer) {
            Ok(message) => assert!(message.is_some(), "the parser waits for more input"),
            Err(error) => break error,
        }
    };
    assert_eq!(error, expected);
}

const ROW_DESCRIPTION: &[u8] = b"T\0\0\0\x1c\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

#[rstest]
#[case::malformed_tag(
    &[ROW_DESCRIPTION, &message(b'D', b"\0\x01\0\0\0\x01a"), &message(b'C', b"SEL\x07CT 1\0")].concat()
)]
#[case::two_rows_reported(
    &[ROW_DESCRIPTION, &message(b'D', b"\0\x01\0\0\0\x01a"), &message(b'C', b"SELECT 2\0")].concat()
)]
#[case::null_value(&[ROW_DESCRIPTION, &message(b'D', b"\0\x01\xff\xff\xff\xff")].concat())]
#[case::text_format(&message(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\0"))]
#[case::truncated_column_description(
    &message(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\0\x01")
)]
#[case::value_length_mismatch_before_the_value(&[ROW_DESCRIPTION, b"D\0\0\0\x20\0\x01\x7f\0\0\0"].concat())]
#[case::error_within_a_result(&[ROW_DESCRIPTION, &message(b'E', b"SERROR\0C53300\0Mno\0\0")].concat())]
#[case::error_without_a_code(&message(b'E', b"SERROR\0Mno\0\0"))]
#[case::error_with_two_codes(&message(b'E', b"SERROR\0C53300\0CXX000\0Mno\0\0"))]
#[case::error_without_terminator(&message(b'E', b"SERROR\0C53300\0Mno\0"))]
#[case::ready_within_a_transaction(&message(b'Z', b"T"))]
#[case::ready_too_long(b"Z\0\0\0\x06")]
#[case::password_request(&message(b'R', &[0, 0, 0, 3]))]
#[case::two_columns(&message(b'T', b"\0\x02"))]
#[case::two_descriptions(&[ROW_DESCRIPTION, ROW_DESCRIPTION].concat())]
#[case::row_before_its_description(&message(b'D', b"\0\x01\0\0\0\0"))]
#[case::two_rows(&[ROW_DESCRIPTION, &message(b'D', b"\0\x01\0\0\0\0").repeat(2)].concat())]
#[case::truncated_row(&[ROW_DESCRIPTION, &message(b'D', b"\0\x01\0\0\0\x05ab")].concat())]
#[case::no_row(&[ROW_DESCRIPTION, &message(b'C', b"SELECT 0\0")].concat())]
#[case::ready_within_a_result(&[ROW_DESCRIPTION, pg::encode::READY].concat())]
#[case::row_too_long(b"D\x7f\xff\xff\xff")]
#[case::unknown_type(b"\0\0\0\0\0")]
fn backend_input_malformed_returns_an_error(#[case] bytes: &[u8]) {
    let mut backend = BackendParser::default();
    let mut buffer = BytesMut::from(bytes);
    let mut result = backend.next(&mut buffer);
    while matches!(result, Ok(Some(_))) {
        result = backend.next(&mut buffer);
    }
    assert!(result.is_err());
}
