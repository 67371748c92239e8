//! Encodes messages, and parses input split at every position.

use bytes::BytesMut;
use latchhaven_gateway::proto::pg;
use std::fmt::Debug;

/// Parses `bytes` in one chunk, in two chunks split at each position, and byte by byte. Checks that the results are
/// equal and that no input remains, and returns them.
///
/// `start` creates a parser, `next` calls it once, and `join` removes differences that may depend on the chunks.
pub(crate) fn at_every_split<T: PartialEq + Debug, R>(
    bytes: &[u8], start: impl Fn() -> R, mut next: impl FnMut(&mut R, &mut BytesMut) -> Option<T>,
    join: impl Fn(Vec<T>) -> Vec<T>,
) -> Vec<T> {
    let mut read = |chunks: Vec<&[u8]>| {
        let mut reader = start();
        let mut buffer = BytesMut::new();
        let mut parts = Vec::new();
        for chunk in chunks {
            buffer.extend_from_slice(chunk);
            while let Some(part) = next(&mut reader, &mut buffer) {
                parts.push(part);
            }
        }
        assert!(buffer.is_empty(), "input that was not parsed: {buffer:?}");
        join(parts)
    };
    let unsplit = read(vec![bytes]);
    for cut in 0..=bytes.len() {
        let (first, second) = bytes.split_at(cut);
        assert_eq!(read(vec![first, second]), unsplit, "cut at {cut}");
    }
    assert_eq!(read(bytes.chunks(1).collect()), unsplit);
    unsplit
}

pub(crate) fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

pub(crate) fn startup() -> Vec<u8> {
    pg::encode::startup().to_vec()
}
