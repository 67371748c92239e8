//! Parsers return an error, and do not panic, on arbitrary input.

use crate::support::{message, startup};
use bytes::{Bytes, BytesMut};
use latchhaven_gateway::proto::http::ResponseParser;
use latchhaven_gateway::proto::pg::{BackendParser, FrontendParser, Statement};

#[test]
fn no_parser_panics_on_arbitrary_bytes() {
    // A linear congruential generator with a fixed seed, so that each run tests the same bytes.
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
            let mut frontend = FrontendParser::default();
            while let Ok(Some(_)) = frontend.next(&mut buf) {}
            let mut backend = BackendParser::default();
            let mut buf = BytesMut::from(&bytes[..]);
            while let Ok(Some(_)) = backend.next(&mut buf) {}
            let mut reader = ResponseParser::default();
            let mut buf = BytesMut::from(
                &[b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &bytes[..]].concat()[..],
            );
            while let Ok(Some(_)) = reader.next(&mut buf) {}
            let _ = Statement::parse(Bytes::copy_from_slice(bytes));
        }
    }
}
