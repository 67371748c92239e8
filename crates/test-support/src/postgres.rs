//! Encoding and decoding of messages of the `PostgreSQL` protocol, and a blocking client.

use crate::wait::MAX_WAIT;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Version 3.0 of the protocol, as encoded in the startup message.
const PROTOCOL_VERSION: u32 = 3 << 16;
/// The length of a message includes its length field.
const LENGTH_FIELD_BYTES: usize = 4;
/// The part of a data row before its only value: the number of columns and the length of the value.
const ROW_HEADER_BYTES: usize = 6;

/// `ReadyForQuery` outside a transaction.
pub const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";
pub(crate) const AUTHENTICATION_OK: &[u8] = b"R\0\0\0\x08\0\0\0\0";

/// A message with a type: any message except the startup message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TypedMessage {
    /// The message type, an ASCII letter.
    pub kind: u8,
    /// The content, without the type and the length field.
    pub body: Vec<u8>,
}

/// The SQLSTATE of an error response; from [`query_result`], possibly a description of a response without one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SqlState(pub String);

impl From<&str> for SqlState {
    fn from(code: &str) -> Self {
        SqlState(code.to_string())
    }
}

/// Encodes a message with a type.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() + LENGTH_FIELD_BYTES) as u32;
    let mut encoded = vec![kind];
    encoded.extend(length.to_be_bytes());
    encoded.extend(body);
    encoded
}

/// Encodes a result of one row with one column: `RowDescription`, `DataRow` and `CommandComplete`.
pub fn row(value: &[u8]) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend(b"doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    [message(b'T', &description), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

/// Encodes an error response with this SQLSTATE and severity `ERROR`.
pub fn error_response(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Encodes the startup message of a client, with a user and a database.
pub fn startup() -> Vec<u8> {
    let parameters = b"user\0app\0database\0shop\0\0";
    let length = (parameters.len() + 2 * LENGTH_FIELD_BYTES) as u32;
    [&length.to_be_bytes()[..], &PROTOCOL_VERSION.to_be_bytes(), parameters].concat()
}

/// Encodes a message of the simple query protocol.
pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// The text of a query that only reads, for this request id and request class.
pub fn select(id: &str, class: &str, timeout_ms: u32) -> String {
    format!("SELECT doc FROM items WHERE id = '7f3a' /* id={id},c={class},t=acme,d={timeout_ms} */")
}

/// The text of a query that writes a value of this many bytes; otherwise as [`insert`].
pub fn insert_large(id: &str, class: &str, timeout_ms: u32, value_bytes: usize) -> String {
    insert(id, class, timeout_ms).replace("9f03", &"5a".repeat(value_bytes))
}

/// The text of a query that writes, with a deduplication key, for this request id and request class.
pub fn insert(id: &str, class: &str, timeout_ms: u32) -> String {
    let statement = r"INSERT INTO items (id, doc) VALUES ('7f', '\x9f03') RETURNING doc";
    format!("{statement} /* d={timeout_ms},k=5c,id={id},t=acme,c={class} */")
}

/// Reads one message; `None` if the stream ends before the message is complete, or on a read error.
pub fn read_message(stream: &mut TcpStream) -> Option<TypedMessage> {
    let mut kind = [0];
    stream.read_exact(&mut kind).ok()?;
    let body = read_body(stream)?;
    Some(TypedMessage { kind: kind[0], body })
}

/// Reads and discards the startup message; `None` if the stream ends before it is complete.
pub(crate) fn read_startup(stream: &mut TcpStream) -> Option<()> {
    read_body(stream).map(drop)
}

fn read_body(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; LENGTH_FIELD_BYTES];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize - LENGTH_FIELD_BYTES];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

/// The messages from a query up to and including `ReadyForQuery`, or up to the close of the connection.
pub type QueryResponse = Vec<TypedMessage>;

/// A client on a blocking socket with [`MAX_WAIT`] as read timeout.
pub struct Client(pub TcpStream);

impl Client {
    /// Opens a connection, without sending the startup message.
    ///
    /// # Panics
    /// The connection cannot be opened.
    pub fn connect(addr: SocketAddr) -> Self {
        Client::try_connect(addr).expect("the connection is opened")
    }

    fn try_connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(MAX_WAIT))?;
        stream.set_nodelay(true)?;
        Ok(Client(stream))
    }

    /// Writes encoded messages.
    ///
    /// # Panics
    /// The bytes cannot be written, for example because the connection is closed.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("the connection is open");
    }

    /// Reads messages up to and including `ReadyForQuery`, or until the connection is closed or the read times out.
    pub fn read_response(&mut self) -> QueryResponse {
        let mut messages = Vec::new();
        while let Some(message) = read_message(&mut self.0) {
            let is_last = message.kind == b'Z';
            messages.push(message);
            if is_last {
                break;
            }
        }
        messages
    }

    /// Sends a query and reads its response.
    pub fn query(&mut self, text: &str) -> QueryResponse {
        self.send(&query(text));
        self.read_response()
    }
}

/// The value of the first row of a response, or the SQLSTATE of an error that precedes any row.
///
/// # Errors
/// The SQLSTATE, or a description in its place if the response has neither row nor error.
///
/// # Panics
/// The value is not UTF-8, or the error has no SQLSTATE.
pub fn query_result(response: &[TypedMessage]) -> Result<String, SqlState> {
    for message in response {
        match message.kind {
            b'D' => {
                let value = message.body[ROW_HEADER_BYTES..].to_vec();
                return Ok(String::from_utf8(value).expect("the value is UTF-8"));
            }
            b'E' => return Err(sql_state(&message.body)),
            _ => {}
        }
    }
    Err(SqlState(format!("neither row nor error in {response:?}")))
}

fn sql_state(error_body: &[u8]) -> SqlState {
    let mut fields = error_body.split(|byte| *byte == 0);
    let code = fields.find(|field| field.first() == Some(&b'C')).expect("the error has a SQLSTATE");
    SqlState(String::from_utf8(code[1..].to_vec()).expect("the SQLSTATE is UTF-8"))
}
