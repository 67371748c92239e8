//! Parsers at every split point, with malformed, oversized and truncated input.

// Until its turn: docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

use bytes::{Bytes, BytesMut};
use latchhaven_gateway::arrivals::ArrivalTimes;
use latchhaven_gateway::net::{list, platform};
use latchhaven_gateway::proto::http::{self, BodyBuffer, ResponsePart, ResponseReader};
use latchhaven_gateway::proto::json::{JsonFrame, JsonFramer};
use latchhaven_gateway::proto::pg::{
    self, Backend, BackendMessage, Frontend, FrontendMessage, ParseError, Statement,
};
use latchhaven_policy::LoadReport;
use rstest::rstest;
use std::fmt::Debug;

/// Feeds bytes in two parts, cut at each place, and byte by byte: what is read is always the same.
fn at_every_split<T: PartialEq + Debug, R>(
    bytes: &[u8], start: impl Fn() -> R, mut next: impl FnMut(&mut R, &mut BytesMut) -> Option<T>,
    join: impl Fn(Vec<T>) -> Vec<T>,
) -> Vec<T> {
    let mut read = |pieces: Vec<&[u8]>| {
        let (mut reader, mut buf, mut got) = (start(), BytesMut::new(), Vec::new());
        for piece in pieces {
            buf.extend_from_slice(piece);
            while let Some(part) = next(&mut reader, &mut buf) {
                got.push(part);
            }
        }
        assert!(buf.is_empty(), "left over: {buf:?}");
        join(got)
    };
    let whole = read(vec![bytes]);
    for cut in 0..=bytes.len() {
        let (one, two) = bytes.split_at(cut);
        assert_eq!(read(vec![one, two]), whole, "cut at {cut}");
    }
    assert_eq!(read(bytes.chunks(1).collect()), whole);
    whole
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

fn startup() -> Vec<u8> {
    pg::encode::startup().to_vec()
}

#[test]
fn a_client_is_read_alike_however_its_bytes_are_split() {
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
    let next = |frontend: &mut Frontend, buf: &mut BytesMut| frontend.next(buf).unwrap();
    let got = at_every_split(&stream, Frontend::default, next, |got| got);
    let query = |text: &'static str| FrontendMessage::Query(Bytes::from_static(text.as_bytes()));
    let wanted = [
        FrontendMessage::EncryptionRequest,
        FrontendMessage::Startup,
        query("SELECT 1"),
        FrontendMessage::Extended,
        FrontendMessage::Sync,
        query(""),
        FrontendMessage::Terminate,
    ];
    assert_eq!(got, wanted);
}

#[test]
fn a_server_is_read_alike_however_its_bytes_are_split() {
    let described = message(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let (row, complete) = (message(b'D', b"\0\x01\0\0\0\x02\x9f\x03"), message(b'C', b"SELECT 1\0"));
    let failed = message(b'E', b"SERROR\0C53300\0Mfull\0\0");
    let (load, notice) = (message(b'S', b"load\0inflight=7\0"), message(b'N', b"SNOTICE\0\0"));
    let stream = [
        &message(b'R', &[0; 4])[..],
        pg::encode::READY,
        &described,
        &notice,
        &row,
        &load,
        &complete,
        pg::encode::READY,
        &failed,
        pg::encode::READY,
    ]
    .concat();
    let next = |backend: &mut Backend, buf: &mut BytesMut| backend.next(buf).unwrap();
    let got = at_every_split(&stream, Backend::default, next, |got| got);
    let value = [described, row, complete].map(Bytes::from);
    let load = BackendMessage::Parameter { name: "load".to_string(), value: "inflight=7".to_string() };
    let failed = BackendMessage::Error("53300".to_string());
    assert_eq!(
        got,
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
    for spoilt in
        ["inflight=7,util=x", "util=inf", "inflight=-3", "inflight=1e300", "inflight=7,", "=7", "\u{1}", ""]
    {
        assert_eq!(pg::parse_load_report(spoilt), LoadReport::default(), "{spoilt}");
    }
}

#[rstest]
#[case::startup_too_long(b"\0\x01\0\0\0\x03\0\0".to_vec(), ParseError::Length(65536))]
#[case::startup_too_short(b"\0\0\0\x07".to_vec(), ParseError::Length(7))]
#[case::old_version(b"\0\0\0\x08\0\x02\0\0".to_vec(), ParseError::Version(131_072))]
#[case::http([&startup()[..], b"GET / HTTP/1.1\r\n"].concat(), ParseError::Type(b'G'))]
#[case::oversized([&startup()[..], b"Q\0\x04\0\0"].concat(), ParseError::Length(262_144))]
#[case::below_itself([&startup()[..], b"Q\0\0\0\x03"].concat(), ParseError::Length(3))]
fn a_client_out_of_step_is_told_so(#[case] bytes: Vec<u8>, #[case] why: ParseError) {
    let (mut frontend, mut buf) = (Frontend::default(), BytesMut::from(&bytes[..]));
    let broken = loop {
        match frontend.next(&mut buf) {
            Ok(asked) => assert!(asked.is_some(), "more is waited for"),
            Err(broken) => break broken,
        }
    };
    assert_eq!(broken, why);
}

const DESCRIBED: &[u8] = b"T\0\0\0\x1c\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

#[rstest]
#[case::noise_in_a_tag(&[DESCRIBED, &message(b'D', b"\0\x01\0\0\0\x01a"), &message(b'C', b"SEL\x07CT 1\0")].concat())]
#[case::two_rows_told(&[DESCRIBED, &message(b'D', b"\0\x01\0\0\0\x01a"), &message(b'C', b"SELECT 2\0")].concat())]
#[case::no_value(&[DESCRIBED, &message(b'D', b"\0\x01\xff\xff\xff\xff")].concat())]
#[case::a_value_in_text(&message(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\0"))]
#[case::a_column_cut_short(&message(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\0\x01"))]
#[case::a_length_before_its_rest(&[DESCRIBED, b"D\0\0\0\x20\0\x01\x7f\0\0\0"].concat())]
#[case::an_error_within_an_answer(&[DESCRIBED, &message(b'E', b"SERROR\0C53300\0Mno\0\0")].concat())]
#[case::an_error_without_a_code(&message(b'E', b"SERROR\0Mno\0\0"))]
#[case::an_error_with_two_codes(&message(b'E', b"SERROR\0C53300\0CXX000\0Mno\0\0"))]
#[case::an_error_without_an_end(&message(b'E', b"SERROR\0C53300\0Mno\0"))]
#[case::not_idle(&message(b'Z', b"T"))]
#[case::ready_too_long(b"Z\0\0\0\x06")]
#[case::a_password(&message(b'R', &[0, 0, 0, 3]))]
#[case::two_columns(&message(b'T', b"\0\x02"))]
#[case::two_descriptions(&[DESCRIBED, DESCRIBED].concat())]
#[case::a_row_before_its_description(&message(b'D', b"\0\x01\0\0\0\0"))]
#[case::two_rows(&[DESCRIBED, &message(b'D', b"\0\x01\0\0\0\0").repeat(2)].concat())]
#[case::a_row_cut_short(&[DESCRIBED, &message(b'D', b"\0\x01\0\0\0\x05ab")].concat())]
#[case::no_row(&[DESCRIBED, &message(b'C', b"SELECT 0\0")].concat())]
#[case::ready_too_early(&[DESCRIBED, pg::encode::READY].concat())]
#[case::endless(b"D\x7f\xff\xff\xff")]
#[case::unknown(b"\0\0\0\0\0")]
fn a_server_out_of_step_is_told_so(#[case] bytes: &[u8]) {
    let (mut backend, mut buf) = (Backend::default(), BytesMut::from(bytes));
    let mut told = backend.next(&mut buf);
    while matches!(told, Ok(Some(_))) {
        told = backend.next(&mut buf);
    }
    assert!(told.is_err());
}

#[test]
fn nothing_that_a_peer_writes_panics() {
    // A fixed stream of bytes that a simple generator makes: the same at each run.
    let mut state = 0x2545_f491_4f6c_dd1d_u64;
    let mut byte = move || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (state >> 56) as u8
    };
    for round in 0..2000 {
        let noise: Vec<u8> = (0..64).map(|_| byte()).collect();
        let kind = b"QPSXTDCEZNR"[round % 11];
        let framed = message(kind, &noise[..round % 64]);
        for bytes in [&noise, &framed] {
            let mut buf = BytesMut::from(&[&startup()[..], bytes].concat()[..]);
            let mut frontend = Frontend::default();
            while let Ok(Some(_)) = frontend.next(&mut buf) {}
            let mut backend = Backend::default();
            let mut buf = BytesMut::from(&bytes[..]);
            while let Ok(Some(_)) = backend.next(&mut buf) {}
            let mut reader = ResponseReader::default();
            let mut buf = BytesMut::from(
                &[b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &bytes[..]].concat()[..],
            );
            while let Ok(Some(_)) = reader.next(&mut buf) {}
            let _ = Statement::parse(Bytes::copy_from_slice(bytes));
        }
    }
    let read = |text: &str| Statement::parse(Bytes::copy_from_slice(text.as_bytes()));
    let whole = "SELECT doc FROM items WHERE id = '7f' /* id=1,c=a,d=9 */";
    for cut in 0..whole.len() {
        assert!(read(&whole[..cut]).is_err(), "{}", &whole[..cut]);
    }
    assert!(
        read(whole).is_ok() && read(&format!("{whole} ")).is_err() && read(&whole.to_lowercase()).is_err()
    );
    for comment in [
        "",
        "id=1,c=a",
        "id=1,d=9",
        "c=a,d=9",
        "id=,c=a,d=9",
        "id=1,c=a,d=x",
        "id=1,c=a,d=-9",
        "id=1,c=a,d=0",
        "id=1,c=a,d=9.5",
        "id=1,c=a,d=99999999999",
        "id=1,c=a,d=9,d=9",
        "id=1,c=a,d=9,x=1",
        "id=1,c=a,d=9,",
        "id=1,c=a,d=9,r=2",
        "id=1,c=a,d=9,h=-1",
        "id=1,c=a,d=9,h=nan",
        "id=1,c=a,d=9,t=a b",
        "id=1,c=a,d=9,t=*/",
        "id=1 ,c=a,d=9",
        "id=1,c=a,d=9,k=\u{e9}",
    ] {
        let text = format!("SELECT doc FROM items WHERE id = '7f' /* {comment} */");
        assert!(read(&text).is_err(), "{text}");
    }
    let insert = |value: &str| {
        read(&format!(
            r"INSERT INTO items (id, doc) VALUES ('7f', '{value}') RETURNING doc /* id=1,c=a,d=9 */"
        ))
    };
    assert!(insert(r"\x").is_ok() && insert(&format!(r"\x{}", "0a".repeat(65536))).is_ok());
    for value in ["", "9f", r"\x9", r"\x9g", r"\x9f', '\x9f", &format!(r"\x{}", "0a".repeat(65537))] {
        assert!(insert(value).is_err(), "{}", &value[..value.len().min(20)]);
    }
}

#[rstest]
#[case::select("SELECT doc FROM items WHERE id = '7f3a' /* id=9b1f,c=basket,t=acme,d=480 */", false)]
#[case::insert(
    r"INSERT INTO items (id, doc) VALUES ('7f3a', '\x9f03') RETURNING doc /* k=5c,d=480,r=1,h=2500,c=basket,id=4 */",
    true
)]
#[case::in_another_order("SELECT doc FROM items WHERE id = '7f3a' /* c=basket,d=480,t=acme,id=1 */", false)]
fn a_statement_tells_what_its_comment_holds(#[case] text: &'static str, #[case] write: bool) {
    let read = Statement::parse(Bytes::from_static(text.as_bytes())).unwrap();
    assert_eq!((read.class.as_str(), read.timeout, read.item.as_deref()), ("basket", 480.0, Some("7f3a")));
    assert_eq!(&text[read.timeout_digits.clone()], "480");
    assert_eq!((read.is_write, read.is_retry, read.expected_work), (write, write, write.then_some(2.5)));
    assert_eq!(read.tenant.as_deref(), (!write).then_some("acme"));
    let sent = pg::encode::forwarded_query(&read, 71.9).concat();
    let wanted = text.replace("d=480", "d=71");
    assert_eq!(sent, pg::encode::query(&wanted));
}

/// Pieces of one body are one body, however they were cut.
fn joined(parts: Vec<ResponsePart>) -> Vec<ResponsePart> {
    let mut all: Vec<ResponsePart> = Vec::new();
    for part in parts {
        match (all.last_mut(), part) {
            (Some(ResponsePart::Body(had)), ResponsePart::Body(more)) => {
                *had = [&had[..], &more[..]].concat().into()
            }
            (_, part) => all.push(part),
        }
    }
    all
}

#[test]
fn answers_are_read_alike_however_their_bytes_are_split() {
    let counted = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nA: b\r\n\r\n";
    let empty = "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let stream = [counted, chunked, empty].concat();
    let next = |reader: &mut ResponseReader, buf: &mut BytesMut| reader.next(buf).unwrap();
    let got = at_every_split(stream.as_bytes(), ResponseReader::default, next, joined);
    let (head, body) = (
        |status, is_last| ResponsePart::Head { status, is_last },
        |text: &'static str| ResponsePart::Body(text.into()),
    );
    let wanted = [
        head(200, false),
        body("hello"),
        ResponsePart::End,
        head(200, false),
        body("hello!"),
        ResponsePart::End,
        head(503, true),
        ResponsePart::End,
    ];
    assert_eq!(got, wanted);
}

#[rstest]
#[case::not_http("220 ready\r\n\r\n".to_string())]
#[case::no_status("HTTP/1.1 2x0 OK\r\n\r\n".to_string())]
#[case::negative("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n".to_string())]
#[case::two_lengths("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n".to_string())]
#[case::no_colon("HTTP/1.1 200 OK\r\nnonsense\r\n\r\n".to_string())]
#[case::head_too_long(format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(20_000)))]
#[case::bad_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n".to_string())]
#[case::huge_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n".to_string())]
#[case::endless_size(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", "0".repeat(300)))]
#[case::no_end_of_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\naXX\r\n".to_string())]
fn a_malformed_answer_is_told_so(#[case] bytes: String) {
    let (mut reader, mut buf) = (ResponseReader::default(), BytesMut::from(bytes.as_bytes()));
    let mut part = reader.next(&mut buf);
    while matches!(part, Ok(Some(_))) {
        part = reader.next(&mut buf);
    }
    assert!(part.is_err());
}

#[test]
fn a_body_is_bounded_and_split_into_lines() {
    let mut body = BodyBuffer::default();
    body.push(b"one\r\n\ntw").unwrap();
    assert_eq!(
        (body.next_line(), body.next_line(), body.next_line()),
        (Some("one".into()), Some("".into()), None)
    );
    body.push(b"o\n").unwrap();
    assert_eq!(body.next_line(), Some("two".into()));
    assert!((0..100).any(|_| body.push(&[b'x'; 65536]).is_err()));
    assert_eq!(http::get("h", "/p"), "GET /p HTTP/1.1\r\nHost: h\r\nAccept: application/json\r\n\r\n");
}

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
fn a_spoilt_line_of_the_feed_tells_nothing(#[case] line: &str) {
    assert!(platform::read_feed_line(line.as_bytes()).is_err());
}

#[rstest]
#[case::noise_behind(r#"{"seq":7,"whole":true,"hosts":[]}x"#)]
#[case::no_name(r#"{"seq":7,"whole":true,"hosts":[{"host":"","dial":"127.0.0.1:5","health":"up"}]}"#)]
#[case::below_nothing(
    r#"{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:5","health":"up","share":-1}]}"#
)]
fn a_spoilt_list_tells_nothing(#[case] text: &str) {
    assert!(list::read(text.as_bytes()).is_err());
}

#[test]
fn objects_are_read_alike_however_they_are_spread_and_split() {
    let text = "\r\n  {\"a\":[{\"b\":\"}{\\\"\\\\\"},\r\n\t{\"c\":{}}\n]}  {\"d\":1}\n";
    let next = |framer: &mut JsonFramer, buf: &mut BytesMut| {
        framer.push(&buf.split()).unwrap();
        framer.next_frame().unwrap()
    };
    let got = at_every_split(text.as_bytes(), JsonFramer::default, next, |got| got);
    let object = |text: &'static str| JsonFrame::Object(Bytes::from_static(text.as_bytes()));
    let first = object("{\"a\":[{\"b\":\"}{\\\"\\\\\"},\r\n\t{\"c\":{}}\n]}");
    assert_eq!(got, [JsonFrame::LineEnd, first, object("{\"d\":1}"), JsonFrame::LineEnd]);
}

#[rstest]
#[case::no_object("x")]
#[case::an_array("[]")]
#[case::cut_off_before_the_next("{\"seq\":7,\n{\"seq\":8}")]
#[case::cut_off_within_an_entry("{\"hosts\":[{\"host\":\"a\",{\"seq\":8}")]
#[case::cut_off_within_a_text("{\"seq\":\"7\n")]
#[case::another_bracket("{\"a\":[}")]
#[case::too_deep("{\"a\":[[[[[[[[[[[[[[[[[[[[")]
fn a_stream_out_of_step_is_told_so(#[case] text: &str) {
    let mut framer = JsonFramer::default();
    framer.push(text.as_bytes()).unwrap();
    assert!(framer.next_frame().is_err(), "{text}");
}

#[test]
fn what_only_sets_objects_apart_is_not_held_and_an_endless_object_is_refused() {
    let mut framer = JsonFramer::default();
    for _ in 0..40 {
        framer.push(&[b' '; 100_000]).unwrap();
        assert_eq!(framer.next_frame(), Ok(None));
    }
    framer.push(b"{\"a\":\"").unwrap();
    let endless = (0..20).try_for_each(|_| {
        framer.push(&[b'x'; 100_000])?;
        framer.next_frame().map(|frame| assert_eq!(frame, None))
    });
    assert_eq!(endless, Err(http::ParseError::TooLong));
}

#[test]
fn bytes_are_as_old_as_the_last_of_them_and_few_parts_are_told_apart() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.record(10, 1.0);
    arrivals.record(10, 2.0);
    arrivals.record(30, 3.0);
    // Nothing taken; 4 of the first 10; the rest of those and one more; all.
    assert_eq!(
        [arrivals.consume(30), arrivals.consume(26), arrivals.consume(19), arrivals.consume(0)],
        [None, Some(1.0), Some(3.0), Some(3.0)]
    );
    (1..=1000).for_each(|n| arrivals.record(n, n as f64));
    // The newest count as come earlier than they did, never later.
    assert_eq!(
        (arrivals.consume(940), arrivals.consume(0), arrivals.buffered()),
        (Some(60.0), Some(64.0), 0)
    );
}
