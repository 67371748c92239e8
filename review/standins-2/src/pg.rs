//! Messages of the protocol between clients, gateways and instances.

use std::io::{self, Read};

pub const READY: &[u8] = b"Z\0\0\0\x05I";
pub const AUTHENTICATION_OK: &[u8] = b"R\0\0\0\x08\0\0\0\0";

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend((body.len() as u32 + 4).to_be_bytes());
    bytes.extend(body);
    bytes
}

pub fn startup() -> Vec<u8> {
    let parameters = b"user\0app\0database\0shop\0\0";
    let mut bytes = ((parameters.len() + 8) as u32).to_be_bytes().to_vec();
    bytes.extend(196_608u32.to_be_bytes());
    bytes.extend(parameters);
    bytes
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// RowDescription, DataRow and CommandComplete.
pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend(b"doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    let tag = [tag.as_bytes(), b"\0"].concat();
    [message(b'T', &description), message(b'D', &data), message(b'C', &tag)].concat()
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

pub struct Message {
    pub kind: u8,
    pub body: Vec<u8>,
}

pub fn read_message(stream: &mut impl Read) -> io::Result<Message> {
    let mut kind = [0];
    stream.read_exact(&mut kind)?;
    Ok(Message { kind: kind[0], body: read_body(stream)? })
}

pub fn read_body(stream: &mut impl Read) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// The SQLSTATE of an ErrorResponse.
pub fn code_of(body: &[u8]) -> String {
    let field = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&b'C'));
    field.map_or(String::new(), |field| String::from_utf8_lossy(&field[1..]).into_owned())
}

/// A value of the comment of a statement.
pub fn field(text: &str, name: &str) -> Option<String> {
    let comment = text.rsplit_once("/* ")?.1.strip_suffix(" */")?;
    comment.split(',').find_map(|entry| entry.strip_prefix(name)?.strip_prefix('=').map(str::to_string))
}

/// The item of a statement.
pub fn item(text: &str) -> String {
    text.split('\'').nth(1).unwrap_or_default().to_string()
}

/// The document of an INSERT.
pub fn document(text: &str) -> Option<Vec<u8>> {
    let hex = text.split_once("'\\x")?.1.split('\'').next()?;
    let digit = |byte: u8| (byte as char).to_digit(16).map(|digit| digit as u8);
    hex.as_bytes().chunks(2).map(|pair| Some(digit(pair[0])? << 4 | digit(*pair.get(1)?)?)).collect()
}
