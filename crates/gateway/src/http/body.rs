//! Reading of complete message bodies.

use bytes::{Buf, Bytes, BytesMut};

use super::{Error, Result};
use crate::memory::{Account, Buffer, Charge, Kind};

/// Maximum length of a chunk size line or trailer line, in bytes, whether it has arrived at once or in
/// parts. No line of a head is longer by default.
const MAX_LINE_BYTES: usize = 16 << 10;
/// Maximum size of the trailers after the last chunk, in bytes; the same as of an upstream's head.
const MAX_TRAILER_BYTES: usize = 64 << 10;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By a chunk of length 0.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Chunk {
    Size,
    Data(u64),
    DataEnd,
    /// Trailers, with the bytes read of them.
    Trailer(usize),
    Done,
}

/// A body being received.
#[derive(Debug)]
pub struct Body {
    framing: Framing,
    chunk: Chunk,
    limit: usize,
    bytes: Buffer,
}

impl Body {
    /// Creates an empty body of at most `limit` bytes whose memory is not counted.
    ///
    /// # Errors
    ///
    /// Fails if the declared length exceeds the limit.
    pub fn new(framing: Framing, limit: usize) -> Result<Self> {
        Self::counted(framing, limit, Account::default().charge(Kind::Requests))
    }

    /// Creates an empty body of at most `limit` bytes, counted by `charge`.
    ///
    /// # Errors
    ///
    /// Fails if the declared length exceeds the limit.
    pub fn counted(framing: Framing, limit: usize, charge: Charge) -> Result<Self> {
        if let Framing::Length(it) = framing
            && it > limit as u64
        {
            return Err(Error::BodyTooLarge(limit));
        }
        let max_bytes = match framing {
            // The length is within the limit.
            Framing::Length(it) => usize::try_from(it).unwrap_or(limit),
            Framing::Chunked | Framing::UntilClose => limit,
        };
        Ok(Self { framing, chunk: Chunk::Size, limit, bytes: Buffer::new(max_bytes, charge) })
    }

    /// Moves bytes of the body from the front of `buffer`; returns true once the body is complete.
    ///
    /// # Errors
    ///
    /// Fails if the body exceeds its limit or its chunks are malformed.
    pub fn feed(&mut self, buffer: &mut BytesMut) -> Result<bool> {
        match self.framing {
            Framing::Length(length) => {
                let missing = usize::try_from(length).unwrap_or(usize::MAX) - self.bytes.len();
                self.take(buffer, missing)?;
                Ok(self.bytes.len() as u64 == length)
            }
            Framing::UntilClose => {
                self.take(buffer, usize::MAX)?;
                Ok(false)
            }
            Framing::Chunked => self.feed_chunks(buffer),
        }
    }

    /// Whether the end of the connection completes the body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Number of bytes received.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether no bytes have been received.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Bytes of memory in use.
    #[must_use]
    pub fn held(&self) -> usize {
        self.bytes.held()
    }

    /// Number of bytes that are missing, if the length is known.
    #[must_use]
    pub fn rest(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(it) => usize::try_from(it).ok().map(|it| it - self.len()),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// The bytes received.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }

    fn take(&mut self, buffer: &mut BytesMut, max: usize) -> Result<()> {
        let count = max.min(buffer.len());
        if self.bytes.len() + count > self.limit {
            return Err(Error::BodyTooLarge(self.limit));
        }
        self.bytes.extend(&buffer[..count]).map_err(|_e| Error::OutOfMemory)?;
        buffer.advance(count);
        Ok(())
    }

    fn feed_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool> {
        loop {
            match self.chunk {
                Chunk::Size => {
                    let Some(size) = take_size(buffer)? else { return Ok(false) };
                    self.chunk = if size == 0 { Chunk::Trailer(0) } else { Chunk::Data(size) };
                }
                Chunk::Data(left) => {
                    let count = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
                    self.take(buffer, count)?;
                    let left = left - count as u64;
                    if left > 0 {
                        self.chunk = Chunk::Data(left);
                        return Ok(false);
                    }
                    self.chunk = Chunk::DataEnd;
                }
                Chunk::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    let is_line_end = buffer.starts_with(b"\r\n");
                    buffer.advance(2);
                    if !is_line_end {
                        return Err(Error::Malformed("bad-chunk-end"));
                    }
                    self.chunk = Chunk::Size;
                }
                Chunk::Trailer(bytes) => {
                    let Some(len) = find_line(buffer)? else { return Ok(false) };
                    let bytes = bytes + len + 2;
                    buffer.advance(len + 2);
                    if len == 0 {
                        self.chunk = Chunk::Done;
                    } else if bytes > MAX_TRAILER_BYTES {
                        return Err(Error::Malformed("trailers-too-large"));
                    } else {
                        self.chunk = Chunk::Trailer(bytes);
                    }
                }
                Chunk::Done => return Ok(true),
            }
        }
    }
}

fn take_size(buffer: &mut BytesMut) -> Result<Option<u64>> {
    let Some(len) = find_line(buffer)? else { return Ok(None) };
    let digits = buffer[..len].split(|it| *it == b';').next().unwrap_or_default().trim_ascii_end();
    // The conversion would accept a sign.
    let text =
        std::str::from_utf8(digits).ok().filter(|it| it.bytes().all(|it| it.is_ascii_hexdigit()));
    let size = text.and_then(|it| u64::from_str_radix(it, 16).ok());
    buffer.advance(len + 2);
    size.map(Some).ok_or(Error::Malformed("bad-chunk-size"))
}

/// Length of the line at the front of `buffer`, without its end; `None` if it is incomplete.
fn find_line(buffer: &BytesMut) -> Result<Option<usize>> {
    let end = buffer.iter().position(|it| *it == b'\n');
    if end.unwrap_or(buffer.len()) > MAX_LINE_BYTES {
        return Err(Error::Malformed("line-too-long"));
    }
    let Some(end) = end else { return Ok(None) };
    if end == 0 || buffer[end - 1] != b'\r' {
        return Err(Error::Malformed("bad-line-end"));
    }
    Ok(Some(end - 1))
}
