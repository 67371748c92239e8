//! Reads and writes on non-blocking sockets, and queries of their state.

use crate::limits::{MAX_BUFFERS_PER_WRITE, MAX_READ_BYTES};
use bytes::{BufMut, Bytes, BytesMut};
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Returns `true` if an idle connection cannot be used, because its peer has closed it or sent unsolicited data.
pub fn is_unusable(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Returns `true` if the socket has unread input.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(count) if count > 0)
}

/// Returns `true` if the peer has closed its side, even if unread input precedes the end of the stream.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(0))
        || is_known_to_be_closed_by_peer(stream)
}

/// As [`is_closed_by_peer`], by what the runtime was notified of before its current turn; without a system call.
pub fn is_known_to_be_closed_by_peer(stream: &TcpStream) -> bool {
    // Polled once without a waker: reads the readiness that the runtime has recorded, and waits for nothing.
    let ready = std::pin::pin!(stream.ready(Interest::READABLE));
    let polled = ready.poll(&mut Context::from_waker(Waker::noop()));
    matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Returns `true` if the failed call transferred nothing and the socket is still usable.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

thread_local! {
    /// Receives the bytes of each read, so that the buffers of connections have no spare capacity for more.
    static RECEIVED: RefCell<BytesMut> = RefCell::new(BytesMut::with_capacity(MAX_READ_BYTES));
}

/// Waits for input, reads once and appends up to [`MAX_READ_BYTES`] to `buffer`. Returns the number of bytes, or 0 if the
/// peer has closed its side. Bytes that were read before a drop of the future are in `buffer`.
///
/// # Errors
/// The connection is lost.
pub async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    read_up_to(stream, buffer, MAX_READ_BYTES).await
}

/// As [`read_some`], up to `limit` bytes. Reads into the spare capacity of `buffer` if that is sufficient.
///
/// # Errors
/// The connection is lost.
pub async fn read_up_to(stream: &TcpStream, buffer: &mut BytesMut, limit: usize) -> io::Result<usize> {
    let limit = limit.min(MAX_READ_BYTES);
    loop {
        stream.readable().await?;
        // Releases the memory of a large message.
        if buffer.is_empty() && buffer.capacity() > 2 * MAX_READ_BYTES {
            *buffer = BytesMut::new();
        }
        match try_read(stream, buffer, limit) {
            Err(error) if is_retryable(&error) => {}
            Ok(read) if read >= limit => {
                // The socket of a peer that sends continuously is always ready: let other tasks run.
                yield_now().await;
                return Ok(read);
            }
            read => return read,
        }
    }
}

fn try_read(stream: &TcpStream, buffer: &mut BytesMut, limit: usize) -> io::Result<usize> {
    if buffer.capacity() - buffer.len() >= limit {
        return stream.try_read_buf(&mut buffer.limit(limit));
    }
    RECEIVED.with_borrow_mut(|received| {
        received.clear();
        let read = stream.try_read_buf(&mut (&mut *received).limit(limit))?;
        buffer.extend_from_slice(received);
        Ok(read)
    })
}

/// Writes all buffers, with up to [`MAX_BUFFERS_PER_WRITE`] of them in one system call.
///
/// # Errors
/// The connection was lost before the last byte was written.
pub async fn write_all(stream: &TcpStream, buffers: &[Bytes]) -> io::Result<()> {
    let mut cursor = WriteCursor { buffers, index: 0, offset: 0 };
    loop {
        cursor.skip_written_buffers();
        if cursor.is_at_end() {
            return Ok(());
        }
        let (slices, count) = cursor.slices();
        match stream.try_write_vectored(&slices[..count]) {
            Ok(written) => cursor.advance(written),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(error) => return Err(error),
        }
    }
}

/// The position of the first byte that was not written yet.
struct WriteCursor<'a> {
    buffers: &'a [Bytes],
    /// Index of the buffer with that byte.
    index: usize,
    /// Bytes written since the start of that buffer; exceeds its length until the next
    /// [`skip_written_buffers`](Self::skip_written_buffers).
    offset: usize,
}

impl<'a> WriteCursor<'a> {
    fn is_at_end(&self) -> bool {
        self.index >= self.buffers.len()
    }

    fn skip_written_buffers(&mut self) {
        while !self.is_at_end() && self.offset >= self.buffers[self.index].len() {
            self.offset -= self.buffers[self.index].len();
            self.index += 1;
        }
    }

    fn advance(&mut self, written: usize) {
        self.offset += written;
    }

    /// The slices for the next system call; the second value is the number of slices in use.
    fn slices(&self) -> ([IoSlice<'a>; MAX_BUFFERS_PER_WRITE], usize) {
        let mut slices = [IoSlice::new(&[]); MAX_BUFFERS_PER_WRITE];
        let mut count = 0;
        for (slot, buffer) in slices.iter_mut().zip(&self.buffers[self.index..]) {
            let written = if count == 0 { self.offset } else { 0 };
            *slot = IoSlice::new(&buffer[written..]);
            count += 1;
        }
        (slices, count)
    }
}
