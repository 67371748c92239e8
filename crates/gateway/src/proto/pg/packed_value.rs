//! Values of statements in half of the memory that their text takes.
//!
//! Problem: a statement stays in memory until its request has a response, and a value is sent as hexadecimal digits, two
//! for each byte. Method: the digits are decoded, and encoded again in chunks while the statement is written to an
//! endpoint. Statements are forwarded unchanged, so only digits that encoding restores are decoded: those without letters
//! of both cases.

use bytes::Bytes;
use data_encoding::{Encoding, HEXLOWER, HEXUPPER};

/// Bytes of a value that are encoded at a time.
const CHUNK_BYTES: usize = 8 * 1024;

static LOWER: Encoding = HEXLOWER;
static UPPER: Encoding = HEXUPPER;

/// The case of the letters among hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DigitCase {
    Lower,
    Upper,
}

impl DigitCase {
    fn encoding(self) -> &'static Encoding {
        match self {
            DigitCase::Lower => &LOWER,
            DigitCase::Upper => &UPPER,
        }
    }
}

/// A value, with the case of the digits that it was received with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedValue {
    bytes: Bytes,
    case: DigitCase,
}

/// Bytes that are dropped together with a reservation of their memory.
struct Reserved<R> {
    bytes: Bytes,
    _reservation: R,
}

impl<R> AsRef<[u8]> for Reserved<R> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The same bytes, with which `reservation` is dropped: as soon as no clone or slice of them is left.
#[must_use]
pub fn with_reservation<R: Send + 'static>(bytes: Bytes, reservation: R) -> Bytes {
    Bytes::from_owner(Reserved { bytes, _reservation: reservation })
}

impl PackedValue {
    /// Decodes hexadecimal digits. `None` if encoding would not restore them, and if there are none.
    #[must_use]
    pub fn decode(digits: &[u8]) -> Option<Self> {
        if digits.is_empty() {
            return None;
        }
        let decode = |case: DigitCase| {
            let bytes = case.encoding().decode(digits).ok()?;
            Some(PackedValue { bytes: Bytes::from(bytes), case })
        };
        decode(DigitCase::Lower).or_else(|| decode(DigitCase::Upper))
    }

    /// The number of bytes in memory.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.bytes.len()
    }

    /// The same value, with which `reservation` is dropped: as soon as no clone of it is left.
    #[must_use]
    pub fn with_reservation<R: Send + 'static>(self, reservation: R) -> Self {
        PackedValue { bytes: with_reservation(self.bytes, reservation), case: self.case }
    }

    /// The number of digits of the text.
    #[must_use]
    pub fn digit_count(&self) -> usize {
        self.case.encoding().encode_len(self.bytes.len())
    }

    /// The digits in chunks; one is in memory at a time.
    pub fn into_digits(self) -> impl Iterator<Item = Bytes> {
        let chunk_count = self.bytes.len().div_ceil(CHUNK_BYTES);
        (0..chunk_count).map(move |index| {
            let start = index * CHUNK_BYTES;
            let end = self.bytes.len().min(start + CHUNK_BYTES);
            Bytes::from(self.case.encoding().encode(&self.bytes[start..end]))
        })
    }
}
