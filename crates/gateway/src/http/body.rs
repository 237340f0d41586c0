//! Reading of complete message bodies.

use bytes::{Buf, Bytes, BytesMut};

use super::{Error, Result};

/// Maximum length of a chunk size line or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4 << 10;
/// Maximum number of trailer lines after the last chunk.
const MAX_TRAILERS: usize = 32;

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
    Trailer(usize),
    Done,
}

/// A body being received.
#[derive(Debug)]
pub struct Body {
    framing: Framing,
    chunk: Chunk,
    limit: usize,
    bytes: BytesMut,
}

impl Body {
    /// Creates an empty body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the declared length exceeds the limit.
    pub fn new(framing: Framing, limit: usize) -> Result<Self> {
        if let Framing::Length(it) = framing
            && it > limit as u64
        {
            return Err(Error::BodyTooLarge(limit));
        }
        Ok(Self { framing, chunk: Chunk::Size, limit, bytes: BytesMut::new() })
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
        if self.bytes.is_empty() {
            self.bytes = buffer.split_to(count);
        } else {
            self.bytes.extend_from_slice(&buffer[..count]);
            buffer.advance(count);
        }
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
                    if buffer.split_to(2) != b"\r\n"[..] {
                        return Err(Error::Malformed("no line end behind a chunk".to_owned()));
                    }
                    self.chunk = Chunk::Size;
                }
                Chunk::Trailer(count) => {
                    let Some(line) = take_line(buffer)? else { return Ok(false) };
                    if line.is_empty() {
                        self.chunk = Chunk::Done;
                    } else if count == MAX_TRAILERS {
                        return Err(Error::Malformed("too many trailers".to_owned()));
                    } else {
                        self.chunk = Chunk::Trailer(count + 1);
                    }
                }
                Chunk::Done => return Ok(true),
            }
        }
    }
}

fn take_size(buffer: &mut BytesMut) -> Result<Option<u64>> {
    let Some(line) = take_line(buffer)? else { return Ok(None) };
    let digits = line.split(|it| *it == b';').next().unwrap_or_default().trim_ascii_end();
    let is_number = !digits.is_empty() && digits.len() <= 15;
    let text = std::str::from_utf8(digits)
        .ok()
        .filter(|it| is_number && it.bytes().all(|it| it.is_ascii_hexdigit()));
    let size = text.and_then(|it| u64::from_str_radix(it, 16).ok());
    size.map(Some).ok_or_else(|| Error::Malformed("chunk size that is no number".to_owned()))
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>> {
    let Some(end) = buffer.iter().position(|it| *it == b'\n') else {
        if buffer.len() > MAX_LINE_BYTES {
            return Err(Error::Malformed("line too long".to_owned()));
        }
        return Ok(None);
    };
    if end == 0 || buffer[end - 1] != b'\r' {
        return Err(Error::Malformed("line that doesn't end in CR LF".to_owned()));
    }
    let mut line = buffer.split_to(end + 1);
    line.truncate(end - 1);
    Ok(Some(line.freeze()))
}
