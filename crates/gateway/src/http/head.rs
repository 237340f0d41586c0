//! Heads of requests and answers.

use std::ops::Range;

use bytes::{Bytes, BytesMut};

use super::{Error, Framing, Result};

/// Most headers of a message.
const MAX_HEADERS: usize = 100;
/// Headers that concern one connection only (RFC 9110, section 7.6.1).
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

/// One header of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name as it was sent.
    pub name: Bytes,
    /// Value without surrounding blanks.
    pub value: Bytes,
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
    /// Headers in the order in which they were sent.
    pub headers: Vec<Header>,
}

impl Head {
    /// Takes the head of a request from the front of `buffer`; none if it isn't whole yet.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no head or it is larger than `limit` bytes.
    pub fn take_request(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(buffer).map_err(|e| Error::Malformed(e.to_string()))?;
        let Some(len) = whole(status, buffer.len(), limit)? else { return Ok(None) };
        let base = buffer.as_ptr() as usize;
        let method = place(base, parsed.method.unwrap_or_default().as_bytes());
        let target = place(base, parsed.path.unwrap_or_default().as_bytes());
        let minor_version = parsed.version.unwrap_or_default();
        let places = places(base, parsed.headers);
        let bytes = buffer.split_to(len).freeze();
        Ok(Some(Self {
            method: bytes.slice(method),
            target: bytes.slice(target),
            status: 0,
            minor_version,
            headers: slices(&bytes, places),
        }))
    }

    /// Takes the head of an answer from the front of `buffer`; none if it isn't whole yet.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no head or it is larger than `limit` bytes.
    pub fn take_answer(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(buffer).map_err(|e| Error::Malformed(e.to_string()))?;
        let Some(len) = whole(status, buffer.len(), limit)? else { return Ok(None) };
        let base = buffer.as_ptr() as usize;
        let (status, minor_version) =
            (parsed.code.unwrap_or_default(), parsed.version.unwrap_or_default());
        let places = places(base, parsed.headers);
        let bytes = buffer.split_to(len).freeze();
        let headers = slices(&bytes, places);
        Ok(Some(Self { status, minor_version, headers, ..Self::default() }))
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

    /// Values of the headers called `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let named = |it: &&Header| it.name.eq_ignore_ascii_case(name.as_bytes());
        self.headers.iter().filter(named).map(|it| &it.value)
    }

    /// Whether the header `name` lists `option`.
    #[must_use]
    pub fn lists(&self, name: &str, option: &str) -> bool {
        let lists = |it: &Bytes| {
            let mut options = it.split(|it| *it == b',').map(<[u8]>::trim_ascii);
            options.any(|it| it.eq_ignore_ascii_case(option.as_bytes()))
        };
        self.all(name).any(lists)
    }

    /// Whether the connection may carry another message behind this one.
    #[must_use]
    pub fn keeps_connection(&self) -> bool {
        match self.minor_version {
            0 => self.lists("connection", "keep-alive"),
            _ => !self.lists("connection", "close"),
        }
    }

    /// Whether a header concerns this connection only and isn't forwarded.
    #[must_use]
    pub fn is_hop_by_hop(&self, header: &Header) -> bool {
        let is_named = |it: &&str| header.name.eq_ignore_ascii_case(it.as_bytes());
        if HOP_BY_HOP.iter().any(is_named) {
            return true;
        }
        std::str::from_utf8(&header.name).is_ok_and(|it| self.lists("connection", it))
    }

    /// How the body of a request is delimited.
    ///
    /// # Errors
    ///
    /// Fails if two readers could see different bodies.
    pub fn request_framing(&self) -> Result<Framing> {
        Ok(self.declared_framing()?.unwrap_or(Framing::Length(0)))
    }

    /// How the body of an answer to `method` is delimited.
    ///
    /// # Errors
    ///
    /// Fails if two readers could see different bodies.
    pub fn answer_framing(&self, method: &[u8]) -> Result<Framing> {
        if method == b"HEAD" || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(self.declared_framing()?.unwrap_or(Framing::UntilClose))
    }

    fn declared_framing(&self) -> Result<Option<Framing>> {
        let mut codings = self.all("transfer-encoding");
        let mut lengths = self.all("content-length");
        if let Some(coding) = codings.next() {
            if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
                return Err(Error::Framing("transfer coding other than chunked"));
            }
            if lengths.next().is_some() {
                return Err(Error::Framing("both a length and chunks"));
            }
            if self.minor_version == 0 {
                return Err(Error::Framing("chunks in HTTP/1.0"));
            }
            return Ok(Some(Framing::Chunked));
        }
        let Some(length) = lengths.next() else { return Ok(None) };
        if lengths.any(|it| it != length) || !length.iter().all(u8::is_ascii_digit) {
            return Err(Error::Framing("more than one length, or one that is no number"));
        }
        let length = std::str::from_utf8(length).ok().and_then(|it| it.parse().ok());
        length.map(|it| Some(Framing::Length(it))).ok_or(Error::Framing("length that is no number"))
    }
}

fn whole(status: httparse::Status<usize>, have: usize, limit: usize) -> Result<Option<usize>> {
    match status {
        httparse::Status::Complete(len) if len <= limit => Ok(Some(len)),
        httparse::Status::Partial if have <= limit => Ok(None),
        _ => Err(Error::HeadTooLarge(limit)),
    }
}

fn place(base: usize, part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - base;
    start..start + part.len()
}

/// Places of a header's name and value in the bytes of its head.
type Place = (Range<usize>, Range<usize>);

fn places(base: usize, headers: &[httparse::Header<'_>]) -> Vec<Place> {
    headers.iter().map(|it| (place(base, it.name.as_bytes()), place(base, it.value))).collect()
}

fn slices(bytes: &Bytes, places: Vec<Place>) -> Vec<Header> {
    let header = |(name, value)| Header { name: bytes.slice(name), value: bytes.slice(value) };
    places.into_iter().map(header).collect()
}
