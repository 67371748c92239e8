//! Reads and writes on sockets.

use crate::limits::{MAX_BUFFERS_PER_WRITE, MAX_READ_BYTES};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// This idle connection cannot be used: its peer has closed it, or sent unsolicited data.
pub fn is_unusable(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// There is unread input.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(count) if count > 0)
}

/// The peer has closed its side, even if there is unread input before the end.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    if matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(0)) {
        return true;
    }
    let ready = std::pin::pin!(stream.ready(Interest::READABLE));
    let polled = ready.poll(&mut Context::from_waker(Waker::noop()));
    matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Nothing was transferred, and the socket is still usable.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Reads available bytes, at most [`MAX_READ_BYTES`]. 0: the peer has closed its side. Where the future is dropped, bytes that
/// were read are in the buffer.
///
/// # Errors
/// Those of the socket.
pub async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        if buffer.is_empty() && buffer.capacity() > 2 * MAX_READ_BYTES {
            *buffer = BytesMut::new();
        }
        buffer.reserve(MAX_READ_BYTES);
        match stream.try_read_buf(buffer) {
            Err(error) if is_retryable(&error) => {}
            Ok(read) if read >= MAX_READ_BYTES => {
                // The socket of a peer that sends continuously is always ready: let other tasks run.
                yield_now().await;
                return Ok(read);
            }
            read => return read,
        }
    }
}

/// Writes all buffers, several with one system call.
///
/// # Errors
/// Those of the socket; the last byte was not written then.
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

/// The position up to which buffers were written.
struct WriteCursor<'a> {
    buffers: &'a [Bytes],
    /// The current buffer.
    index: usize,
    /// Bytes of the current buffer that were written.
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

    /// The next slices to write, and their number.
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
