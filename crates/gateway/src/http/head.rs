//! Heads of requests and answers.

use std::{
    collections::HashSet,
    fmt,
    ops::{Range, RangeInclusive},
};

use bytes::{Buf, Bytes, BytesMut};

use super::{Error, Framing, Result, Search, search::first_line_len};

/// Number of headers for which a head is parsed first; few messages have more.
const USUAL_HEADERS: usize = 64;
/// Size of the shortest header line, in bytes: a name of one byte, the colon and a line feed.
const MIN_HEADER_BYTES: usize = 3;
/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Statuses that exist (RFC 9110, section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;

/// A header of a message.
#[derive(Clone, Eq, PartialEq)]
pub struct Header {
    /// Name, in the case received.
    pub name: Bytes,
    /// Value without surrounding whitespace.
    pub value: Bytes,
}

impl fmt::Debug for Header {
    /// Omits the value, which may be a key.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = String::from_utf8_lossy(&self.name);
        write!(out, "{name:?}: {} bytes", self.value.len())
    }
}

/// Head of a request or of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// Method; empty in an answer.
    pub method: Bytes,
    /// Path and query; empty in an answer.
    pub target: Bytes,
    /// Status; 0 in a request.
    pub status: u16,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
    /// Headers in the order received.
    pub headers: Vec<Header>,
}

impl Head {
    /// Parses and removes the head of a request at the front of `buffer`; returns `None` if it is
    /// incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid head, or if its first line or the others exceed `limit` bytes.
    pub fn parse_request(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>> {
        Self::continue_request(&mut Search::default(), buffer, limit)
    }

    /// As [`Self::parse_request`], where an earlier call may have searched the front of `buffer`.
    ///
    /// # Errors
    ///
    /// As for [`Self::parse_request`].
    pub fn continue_request(
        search: &mut Search,
        buffer: &mut BytesMut,
        limit: usize,
    ) -> Result<Option<Self>> {
        if search.is_incomplete(buffer, limit, true)? {
            return Ok(None);
        }
        let first_line = first_line_len(buffer);
        if first_line > limit {
            return Err(Error::HeadTooLarge(limit));
        }
        // The operator limits the headers; a request line as long again is not part of them.
        let res = Self::parse_request_within(buffer, first_line + limit).map_err(|e| match e {
            Error::HeadTooLarge(_) => Error::HeadTooLarge(limit),
            e => e,
        })?;
        if res.is_some() {
            *search = Search::default();
        }
        Ok(res)
    }

    fn parse_request_within(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>> {
        let mut usual = [httparse::EMPTY_HEADER; USUAL_HEADERS];
        let mut many;
        let mut parsed = httparse::Request::new(&mut usual);
        let mut res = parsed.parse(buffer);
        if res == Err(httparse::Error::TooManyHeaders) {
            many = vec![httparse::EMPTY_HEADER; max_headers(buffer, limit)];
            parsed = httparse::Request::new(&mut many);
            res = parsed.parse(buffer);
        }
        if res == Err(httparse::Error::TooManyHeaders) {
            // More headers than the limit on the size has room for.
            return Err(Error::HeadTooLarge(limit));
        }
        let status = res.map_err(malformed)?;
        let Some(len) = complete_len(status, buffer.len(), limit)? else { return Ok(None) };
        let base = buffer.as_ptr() as usize;
        let method = range(base, parsed.method.unwrap_or_default().as_bytes());
        let target = range(base, parsed.path.unwrap_or_default().as_bytes());
        let minor_version = parsed.version.unwrap_or_default();
        let ranges = ranges(base, parsed.headers);
        let bytes = take(buffer, len);
        Ok(Some(Self {
            method: bytes.slice(method),
            target: bytes.slice(target),
            status: 0,
            minor_version,
            headers: slices(&bytes, ranges),
        }))
    }

    /// Parses and removes the head of an answer at the front of `buffer`; returns `None` if it is
    /// incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid head, its status doesn't exist, or it exceeds `limit` bytes.
    pub fn parse_answer(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>> {
        Self::continue_answer(&mut Search::default(), buffer, limit)
    }

    /// As [`Self::parse_answer`], where an earlier call may have searched the front of `buffer`.
    ///
    /// # Errors
    ///
    /// As for [`Self::parse_answer`].
    pub fn continue_answer(
        search: &mut Search,
        buffer: &mut BytesMut,
        limit: usize,
    ) -> Result<Option<Self>> {
        if search.is_incomplete(buffer, limit, false)? {
            return Ok(None);
        }
        let res = Self::parse_answer_within(buffer, limit)?;
        if res.is_some() {
            *search = Search::default();
        }
        Ok(res)
    }

    fn parse_answer_within(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>> {
        let mut usual = [httparse::EMPTY_HEADER; USUAL_HEADERS];
        let mut many;
        let mut parsed = httparse::Response::new(&mut usual);
        let mut res = parsed.parse(buffer);
        if res == Err(httparse::Error::TooManyHeaders) {
            // Unlike a request's, the list of an answer's headers is not counted as memory held.
            let count = max_headers(buffer, limit).min(limit / size_of::<Header>());
            many = vec![httparse::EMPTY_HEADER; count];
            parsed = httparse::Response::new(&mut many);
            res = parsed.parse(buffer);
        }
        let status = res.map_err(malformed)?;
        let Some(len) = complete_len(status, buffer.len(), limit)? else { return Ok(None) };
        let base = buffer.as_ptr() as usize;
        let (status, minor_version) =
            (parsed.code.unwrap_or_default(), parsed.version.unwrap_or_default());
        if !STATUSES.contains(&status) {
            return Err(Error::Malformed("bad-status"));
        }
        let ranges = ranges(base, parsed.headers);
        let bytes = take(buffer, len);
        let headers = slices(&bytes, ranges);
        Ok(Some(Self { status, minor_version, headers, ..Self::default() }))
    }

    /// Size of the target and the headers as they are written, in bytes.
    #[must_use]
    pub fn text_len(&self) -> usize {
        let line = |it: &Header| it.name.len() + it.value.len() + ": \r\n".len();
        self.target.len() + self.headers.iter().map(line).sum::<usize>()
    }

    /// Bytes of memory in use for the list of the headers, which for short ones is larger than the text.
    #[must_use]
    pub fn list_bytes(&self) -> usize {
        self.headers.capacity() * size_of::<Header>()
    }

    /// Bytes of memory in use while the request is in progress: the text, a copy that is sent to an
    /// upstream, and the list of the headers.
    #[must_use]
    pub fn held(&self) -> usize {
        2 * self.text_len() + self.list_bytes()
    }

    /// Value of the first header called `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        let named = |it: &&Header| it.name.eq_ignore_ascii_case(name.as_bytes());
        self.headers.iter().find(named).map(|it| &it.value)
    }

    /// Value of the first header called `name`, as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|it| std::str::from_utf8(it).ok())
    }

    /// Values of all headers called `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let named = |it: &&Header| it.name.eq_ignore_ascii_case(name.as_bytes());
        self.headers.iter().filter(named).map(|it| &it.value)
    }

    /// Whether the comma-separated header `name` contains `option`.
    #[must_use]
    pub fn lists(&self, name: &str, option: &str) -> bool {
        let lists = |it: &Bytes| {
            let mut options = it.split(|it| *it == b',').map(<[u8]>::trim_ascii);
            options.any(|it| it.eq_ignore_ascii_case(option.as_bytes()))
        };
        self.all(name).any(lists)
    }

    /// Whether the connection may carry another message after this one.
    #[must_use]
    pub fn keeps_connection(&self) -> bool {
        match self.minor_version {
            0 => self.lists("connection", "keep-alive"),
            _ => !self.lists("connection", "close"),
        }
    }

    /// Headers that are forwarded: all but those that apply to this connection only.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Header> {
        // Collected once: a search for each header would take time with the square of their number.
        let options: HashSet<Vec<u8>> = self
            .all("connection")
            .flat_map(|it| it.split(|it| *it == b','))
            .map(|it| it.trim_ascii().to_ascii_lowercase())
            .collect();
        self.headers.iter().filter(move |header| {
            let is_named = |it: &&str| header.name.eq_ignore_ascii_case(it.as_bytes());
            let is_listed =
                || !options.is_empty() && options.contains(&header.name.to_ascii_lowercase());
            !HOP_BY_HOP.iter().any(is_named) && !is_listed()
        })
    }

    /// Framing of a request body.
    ///
    /// # Errors
    ///
    /// Fails if the framing is ambiguous, so that two parsers could read different bodies.
    pub fn request_framing(&self) -> Result<Framing> {
        Ok(self.declared_framing()?.unwrap_or(Framing::Length(0)))
    }

    /// Framing of the body of an answer to `method`.
    ///
    /// # Errors
    ///
    /// Fails if the framing is ambiguous, so that two parsers could read different bodies.
    pub fn answer_framing(&self, method: &[u8]) -> Result<Framing> {
        if method == b"HEAD" || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(self.declared_framing()?.unwrap_or(Framing::UntilClose))
    }

    fn declared_framing(&self) -> Result<Option<Framing>> {
        let mut encodings = self.all("transfer-encoding");
        let mut lengths = self.all("content-length");
        if let Some(encoding) = encodings.next() {
            if encodings.next().is_some() || !encoding.eq_ignore_ascii_case(b"chunked") {
                return Err(Error::Framing("unknown-transfer-coding"));
            }
            if lengths.next().is_some() {
                return Err(Error::Framing("length-and-chunks"));
            }
            if self.minor_version == 0 {
                return Err(Error::Framing("chunks-in-http-1.0"));
            }
            return Ok(Some(Framing::Chunked));
        }
        let Some(length) = lengths.next() else { return Ok(None) };
        if lengths.any(|it| it != length) || !length.iter().all(u8::is_ascii_digit) {
            return Err(Error::Framing("bad-length"));
        }
        let length = std::str::from_utf8(length).ok().and_then(|it| it.parse().ok());
        length.map(|it| Some(Framing::Length(it))).ok_or(Error::Framing("bad-length"))
    }
}

fn malformed(e: httparse::Error) -> Error {
    Error::Malformed(match e {
        httparse::Error::HeaderName => "bad-header-name",
        httparse::Error::HeaderValue => "bad-header-value",
        httparse::Error::NewLine => "bad-line-end",
        httparse::Error::Status => "bad-status",
        httparse::Error::Token => "bad-token",
        httparse::Error::TooManyHeaders => "too-many-headers",
        httparse::Error::Version => "bad-version",
    })
}

/// Number of headers that the part of `buffer` within `limit` bytes can hold. The limit on the size of
/// a head is the operator's; there is none on the number of its headers.
fn max_headers(buffer: &[u8], limit: usize) -> usize {
    buffer.len().min(limit) / MIN_HEADER_BYTES
}

fn complete_len(
    status: httparse::Status<usize>,
    received: usize,
    limit: usize,
) -> Result<Option<usize>> {
    match status {
        httparse::Status::Complete(len) if len <= limit => Ok(Some(len)),
        httparse::Status::Partial if received <= limit => Ok(None),
        _ => Err(Error::HeadTooLarge(limit)),
    }
}

/// Copies the head out of `buffer`. A slice would keep the whole allocation of the buffer alive.
fn take(buffer: &mut BytesMut, len: usize) -> Bytes {
    let res = Bytes::copy_from_slice(&buffer[..len]);
    buffer.advance(len);
    res
}

fn range(base: usize, part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - base;
    start..start + part.len()
}

/// Ranges of a header's name and value in the bytes of the head.
type HeaderRanges = (Range<usize>, Range<usize>);

fn ranges(base: usize, headers: &[httparse::Header<'_>]) -> Vec<HeaderRanges> {
    headers.iter().map(|it| (range(base, it.name.as_bytes()), range(base, it.value))).collect()
}

fn slices(bytes: &Bytes, ranges: Vec<HeaderRanges>) -> Vec<Header> {
    let header = |(name, value)| Header { name: bytes.slice(name), value: bytes.slice(value) };
    ranges.into_iter().map(header).collect()
}
