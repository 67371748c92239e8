//! The clients' side of the protocol: PostgreSQL's, version 3, one simple query at a time. A parser that is fed bytes
//! and knows no socket and no clock.

use bytes::{Buf, Bytes, BytesMut};

/// A message may be as long as a value of 64 KiB, or one that a gateway passes on beyond that, and its wrapping.
const MESSAGE_MOST: usize = 1 << 20;
/// Bytes of all messages of one answer.
const ANSWER_MOST: usize = 2 << 20;

/// What is wrong with what a gateway wrote: its connection is not used again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("a message of {0} bytes")]
    Long(usize),
    #[error("no message of this protocol: {0}")]
    Odd(&'static str),
}

/// What came up to ReadyForQuery, or in a fatal error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The gateway is ready for a first query.
    Ready,
    Value(Bytes),
    /// It never ran; ms after which to come again, where they were named.
    Declined {
        come_back: Option<u64>,
        fatal: bool,
    },
    /// Any other error: its code.
    Failed {
        code: String,
        fatal: bool,
    },
}

/// The first bytes on a connection.
pub fn startup() -> Bytes {
    let names = b"user\0app\0database\0shop\0\0";
    let mut bytes = Vec::with_capacity(8 + names.len());
    bytes.extend((names.len() as u32 + 8).to_be_bytes());
    bytes.extend((3u32 << 16).to_be_bytes());
    bytes.extend(names);
    Bytes::from(bytes)
}

/// A txn as it is asked.
#[derive(Clone, Debug, PartialEq)]
pub struct Query<'a> {
    /// Of this try, new with each.
    pub id: &'a str,
    pub product: &'a str,
    pub tenant: Option<&'a str>,
    pub item: &'a str,
    /// What is to be written; none: it is read.
    pub doc: Option<&'a [u8]>,
    pub key: Option<&'a str>,
    /// ms for which the answer is waited for.
    pub left: u64,
    pub repeat: bool,
}

/// True for names that need no quoting in a statement or its comment.
pub fn plain(name: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    !name.is_empty() && name.len() <= 128 && name.bytes().all(fits)
}

impl Query<'_> {
    /// True where all its names are plain.
    pub fn fits(&self) -> bool {
        let names = [Some(self.id), Some(self.product), self.tenant, Some(self.item), self.key];
        names.into_iter().flatten().all(plain)
    }
}

/// A query's bytes; none where a name in it is not plain.
pub fn query(query: &Query) -> Option<Bytes> {
    if !query.fits() {
        return None;
    }
    let mut text = match query.doc {
        None => format!("SELECT doc FROM items WHERE id = '{}'", query.item),
        Some(doc) => {
            let hex: String = doc.iter().map(|byte| format!("{byte:02x}")).collect();
            format!(r"INSERT INTO items (id, doc) VALUES ('{}', '\x{hex}') RETURNING doc", query.item)
        }
    };
    text.push_str(&format!(" /* id={},c={}", query.id, query.product));
    query.tenant.iter().for_each(|tenant| text.push_str(&format!(",t={tenant}")));
    text.push_str(&format!(",d={}", query.left));
    query.key.iter().for_each(|key| text.push_str(&format!(",k={key}")));
    text.push_str(if query.repeat { ",r=1 */" } else { " */" });
    let mut bytes = vec![b'Q'];
    bytes.extend((text.len() as u32 + 5).to_be_bytes());
    bytes.extend(text.bytes());
    bytes.push(0);
    Some(Bytes::from(bytes))
}

/// Reads one answer after another.
#[derive(Debug, Default)]
pub struct Reader {
    value: Option<Bytes>,
    whole: bool,
    error: Option<Answer>,
    taken: usize,
}

impl Reader {
    /// The next answer, if all of it is there; what is read is taken from the buffer.
    ///
    /// # Errors
    /// Bytes that are no answer.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Answer>, Fault> {
        loop {
            let Some(head) = buf.get(..5) else { return Ok(None) };
            let (kind, length) = (head[0], u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize);
            if length < 4 {
                return Err(Fault::Odd("a length below 4"));
            }
            // Judged as soon as it is there: nothing is held for what is never read.
            if length > MESSAGE_MOST || self.taken + length > ANSWER_MOST {
                return Err(Fault::Long(length));
            }
            if buf.len() < length + 1 {
                return Ok(None);
            }
            let mut message = buf.split_to(length + 1).freeze();
            message.advance(5);
            self.taken += length;
            if let Some(answer) = self.message(kind, message)? {
                *self = Reader::default();
                return Ok(Some(answer));
            }
        }
    }

    fn message(&mut self, kind: u8, body: Bytes) -> Result<Option<Answer>, Fault> {
        match kind {
            b'D' => {
                if self.value.is_some() || self.error.is_some() {
                    return Err(Fault::Odd("a second row, or one behind an error"));
                }
                let head = body.get(..6).ok_or(Fault::Odd("a short row"))?;
                let length = i32::from_be_bytes([head[2], head[3], head[4], head[5]]);
                if head[..2] != [0, 1] || length < 0 || body.len() != 6 + length as usize {
                    return Err(Fault::Odd("a row of another form"));
                }
                self.value = Some(body.slice(6..));
            }
            b'C' => self.whole = true,
            b'E' => {
                let answer = error(&body)?;
                let fatal = matches!(
                    answer,
                    Answer::Declined { fatal: true, .. } | Answer::Failed { fatal: true, .. }
                );
                if fatal {
                    return Ok(Some(answer));
                }
                self.error.get_or_insert(answer);
            }
            b'Z' => {
                return Ok(Some(match (self.error.take(), self.value.take()) {
                    (Some(error), _) => error,
                    (None, Some(value)) if self.whole => Answer::Value(value),
                    (None, None) => Answer::Ready,
                    _ => return Err(Fault::Odd("a row without its end")),
                }));
            }
            // Row description, notices, parameters, authentication, key data, an empty query's end.
            b'T' | b'N' | b'S' | b'R' | b'K' | b'I' => {}
            _ => return Err(Fault::Odd("an unknown kind")),
        }
        Ok(None)
    }
}

/// An error's fields. Only one that is whole, with one code, says that something never ran.
fn error(body: &[u8]) -> Result<Answer, Fault> {
    let (mut code, mut severity, mut detail) = (None, "", None);
    let fields = body.strip_suffix(b"\0\0").ok_or(Fault::Odd("an error without its end"))?;
    for field in fields.split(|byte| *byte == 0) {
        let Some((kind, text)) = field.split_first() else { return Err(Fault::Odd("an empty field")) };
        let text = std::str::from_utf8(text).map_err(|_| Fault::Odd("an error that is no text"))?;
        match kind {
            b'C' if code.is_some() => return Err(Fault::Odd("an error with two codes")),
            b'C' => code = Some(text.to_string()),
            b'S' => severity = text,
            b'D' => detail = text.parse::<u64>().ok(),
            _ => {}
        }
    }
    let (code, fatal) =
        (code.ok_or(Fault::Odd("an error without a code"))?, severity == "FATAL" || severity == "PANIC");
    Ok(match code.as_str() {
        "53300" | "57P03" => Answer::Declined { come_back: detail, fatal },
        _ => Answer::Failed { code, fatal },
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn message(kind: u8, body: &[u8]) -> Vec<u8> {
        [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
    }

    fn row(value: &[u8]) -> Vec<u8> {
        let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
        [
            message(b'T', b"\0\x01doc\0"),
            message(b'D', &data),
            message(b'C', b"SELECT 1\0"),
            message(b'Z', b"I"),
        ]
        .concat()
    }

    fn answers() -> Vec<(Vec<u8>, Answer)> {
        let failed = |code: &str, fatal| Answer::Failed { code: code.to_string(), fatal };
        let error = |fields: &str| message(b'E', fields.replace('|', "\0").as_bytes());
        let ready = message(b'Z', b"I");
        vec![
            (row(b"abc"), Answer::Value(Bytes::from_static(b"abc"))),
            ([message(b'R', &[0; 4]), message(b'S', b"a\0b\0"), ready.clone()].concat(), Answer::Ready),
            (
                [error("SERROR|C53300|Mno|D120||"), ready.clone()].concat(),
                Answer::Declined { come_back: Some(120), fatal: false },
            ),
            (error("SFATAL|C57P03|Mstarting||"), Answer::Declined { come_back: None, fatal: true }),
            ([error("SERROR|CXX000|Mno||"), ready.clone()].concat(), failed("XX000", false)),
            (
                [row(b"abc")[..row(b"abc").len() - 6].to_vec(), error("SERROR|C53300|M||"), ready].concat(),
                Answer::Declined { come_back: None, fatal: false },
            ),
        ]
    }

    #[test]
    fn answers_are_read_alike_at_every_split() {
        for (bytes, wanted) in answers() {
            for at in 0..=bytes.len() {
                let (mut reader, mut buf) = (Reader::default(), BytesMut::from(&bytes[..at]));
                let first = reader.next(&mut buf).unwrap();
                if at < bytes.len() {
                    assert_eq!(first, None, "at {at}");
                }
                buf.extend_from_slice(&bytes[at..]);
                let answer = first.or_else(|| reader.next(&mut buf).unwrap());
                assert_eq!(answer.as_ref(), Some(&wanted), "at {at}");
                assert!(buf.is_empty());
            }
        }
    }

    #[test]
    fn what_is_no_answer_says_nothing_of_having_run() {
        for bad in [
            message(b'E', b"SERROR\0C53300\0Mno"),
            message(b'E', b"SERROR\0C53300\0C57P03\0\0"),
            message(b'E', b"SERROR\0Mno\0\0"),
            message(b'E', b"SERROR\0C53300\0M\xff\0\0"),
            message(b'x', b""),
            [message(b'D', b"\0\x02"), message(b'Z', b"I")].concat(),
            [message(b'D', b"\0\x01\xff\xff\xff\xff"), message(b'Z', b"I")].concat(),
            [message(b'D', b"\0\x01\0\0\0\x01a"), message(b'Z', b"I")].concat(),
            vec![b'D', 0, 0, 0, 1],
            vec![b'D', 0x7f, 0xff, 0xff, 0xff],
        ] {
            let mut buf = BytesMut::from(bad.as_slice());
            assert!(Reader::default().next(&mut buf).is_err(), "{bad:?}");
        }
    }

    #[test]
    fn a_query_has_the_form_of_the_protocol_and_odd_names_have_none() {
        let read = Query {
            id: "9b1f",
            product: "basket",
            tenant: Some("acme"),
            item: "7f3a",
            doc: None,
            key: None,
            left: 480,
            repeat: false,
        };
        let text = |query: &Query| {
            super::query(query).map(|bytes| String::from_utf8(bytes[5..bytes.len() - 1].to_vec()).unwrap())
        };
        assert_eq!(
            text(&read).unwrap(),
            "SELECT doc FROM items WHERE id = '7f3a' /* id=9b1f,c=basket,t=acme,d=480 */"
        );
        let write =
            Query { doc: Some(&[0x9f, 3]), key: Some("5c0f"), tenant: None, repeat: true, ..read.clone() };
        let wanted = r"INSERT INTO items (id, doc) VALUES ('7f3a', '\x9f03') RETURNING doc /* id=9b1f,c=basket,d=480,k=5c0f,r=1 */";
        assert_eq!(text(&write).unwrap(), wanted);
        for odd in ["", "a'b", "a,b", "a*/", "a b", "ä", &"x".repeat(200)] {
            assert_eq!(text(&Query { item: odd, ..read.clone() }), None, "{odd}");
            assert_eq!(text(&Query { key: Some(odd), ..read.clone() }), None, "{odd}");
        }
    }

    proptest! {
        #![proptest_config(latchhaven_proptest_config::deterministic())]

        #[test]
        fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), at in 0usize..300) {
            let at = at.min(bytes.len());
            let (mut reader, mut buf) = (Reader::default(), BytesMut::from(&bytes[..at]));
            if reader.next(&mut buf).is_ok() {
                buf.extend_from_slice(&bytes[at..]);
                while let Ok(Some(_)) = reader.next(&mut buf) {}
            }
        }

        #[test]
        fn a_spoilt_answer_is_never_taken_for_another_value(n in 0usize..6, at in 0usize..80, to: u8) {
            let (bytes, wanted) = answers().swap_remove(n);
            let mut spoilt = bytes.clone();
            let at = at % spoilt.len();
            spoilt[at] = to;
            let read = Reader::default().next(&mut BytesMut::from(spoilt.as_slice()));
            if let (Ok(Some(Answer::Value(value))), Answer::Value(whole)) = (read, wanted) {
                prop_assert_eq!(value.len(), whole.len());
            }
        }
    }
}
