//! Requests that are allowed but unusual in form.

use platform_standin::config;

/// Number of headers added by [`Form::ManyHeaders`]. With the others, a request has at most 200.
const MANY_HEADERS: std::ops::RangeInclusive<usize> = 96..=190;
/// Maximum number of bytes by which [`Form::LargeHead`] stays below the configured limit.
const MAX_HEAD_MARGIN_BYTES: usize = 64;
/// Bytes of the first line beside a path of [`Form::LongPath`], at most.
const LONG_LINE_REST_BYTES: usize = 64;
/// Number of leading zeros of a chunk size; with its digits, the size has 16 digits or more.
const LEADING_ZEROS: std::ops::RangeInclusive<usize> = 15..=40;
/// Length of a chunk extension, in bytes. Less than the configured limit of a head.
const EXTENSION_BYTES: std::ops::RangeInclusive<usize> = 1..=6_000;
/// Number of trailers. All together are shorter than the configured limit of a head.
const TRAILERS: std::ops::RangeInclusive<usize> = 33..=150;

/// An allowed deviation from the usual form of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Form {
    /// More headers than usual.
    ManyHeaders,
    /// A head almost as long as the configuration allows.
    LargeHead,
    /// A path of many segments, almost as long as the configuration allows a head.
    LongPath,
    /// A body in chunks whose sizes have leading zeros.
    LeadingZeros,
    /// A body in chunks with extensions.
    ChunkExtensions,
    /// A body in chunks with trailers.
    Trailers,
    /// The name of the host in capitals.
    CapitalHost,
    /// A port behind the name of the host.
    HostPort,
    /// A target with scheme and host.
    AbsoluteTarget,
    /// An empty line before the request (RFC 9112, section 2.2).
    EmptyLine,
    /// A body, also in a `GET` request.
    Body,
    /// `Expect: 100-continue`, with a body that is sent without waiting.
    Expect,
    /// A header value with bytes over 127.
    HighBytes,
    /// A deadline with a fraction of a millisecond.
    FractionalDeadline,
    /// Sent in two parts with a pause between them. [`request`] does not do this.
    Parts,
}

impl Form {
    const ALL: [Self; 15] = [
        Self::ManyHeaders,
        Self::LargeHead,
        Self::LongPath,
        Self::LeadingZeros,
        Self::ChunkExtensions,
        Self::Trailers,
        Self::CapitalHost,
        Self::HostPort,
        Self::AbsoluteTarget,
        Self::EmptyLine,
        Self::Body,
        Self::Expect,
        Self::HighBytes,
        Self::FractionalDeadline,
        Self::Parts,
    ];

    /// Chooses no form in half of the cases, else one or two.
    pub(crate) fn choose(rng: &mut fastrand::Rng) -> Vec<Self> {
        let count = [0, 0, 1, 2][rng.usize(..4)];
        let mut res = rng.choose_multiple(Self::ALL, count);
        res.sort_unstable();
        res
    }
}

/// Builds a request that has all of `forms`.
pub(crate) fn request(
    forms: &[Form],
    method: &str,
    path: &str,
    id: &str,
    rng: &mut fastrand::Rng,
) -> Vec<u8> {
    let has = |it| forms.contains(&it);
    let mut host = config::HOST.to_owned();
    if has(Form::CapitalHost) {
        host.make_ascii_uppercase();
    }
    if has(Form::HostPort) {
        host.push_str(":8080");
    }
    let start = if has(Form::EmptyLine) { "\r\n" } else { "" };
    let origin = if has(Form::AbsoluteTarget) { format!("http://{host}") } else { String::new() };
    let fraction = if has(Form::FractionalDeadline) { ".25" } else { "" };
    let path = if has(Form::LongPath) {
        long_path(path, rng.usize(..MAX_HEAD_MARGIN_BYTES))
    } else {
        path.to_owned()
    };
    let head =
        config::head(method, &format!("{origin}{path}"), &host, id, &format!("5000{fraction}"));
    let mut out = format!("{start}{head}").into_bytes();
    if has(Form::Expect) {
        out.extend(b"Expect: 100-continue\r\n");
    }
    if has(Form::HighBytes) {
        out.extend(b"X-Name: ");
        out.extend(0x80..=0xff);
        out.extend(b"\r\n");
    }
    let body = body(forms, rng);
    let is_chunked = has(Form::LeadingZeros) || has(Form::ChunkExtensions) || has(Form::Trailers);
    if is_chunked {
        out.extend(b"Transfer-Encoding: chunked\r\n");
    } else {
        out.extend(format!("Content-Length: {}\r\n", body.len()).bytes());
    }
    if has(Form::ManyHeaders) {
        for number in 0..rng.usize(MANY_HEADERS) {
            out.extend(format!("X-Header-{number}: {number}\r\n").bytes());
        }
    }
    if has(Form::LargeHead) {
        out.extend(b"X-Padding: ");
        // A long first line does not count.
        let first_line = if has(Form::LongPath) { path.len() } else { 0 };
        let length = first_line + config::MAX_HEAD_BYTES - rng.usize(..MAX_HEAD_MARGIN_BYTES);
        out.resize(length - "\r\n\r\n".len(), b'x');
        out.extend(b"\r\n");
    }
    out.extend(b"\r\n");
    out.extend(body);
    out
}

/// Extends a path by segments until its request's first line is `margin` bytes below the limit, or less.
pub(crate) fn long_path(path: &str, margin: usize) -> String {
    let length = config::MAX_HEAD_BYTES - LONG_LINE_REST_BYTES - margin;
    format!("{path}{}", "/a".repeat((length - path.len()) / 2))
}

fn body(forms: &[Form], rng: &mut fastrand::Rng) -> Vec<u8> {
    let has = |it| forms.contains(&it);
    let text = "a body of 23 characters";
    if !has(Form::LeadingZeros) && !has(Form::ChunkExtensions) && !has(Form::Trailers) {
        let has_body = has(Form::Body) || has(Form::Expect);
        return if has_body { text.into() } else { Vec::new() };
    }
    let zeros =
        if has(Form::LeadingZeros) { "0".repeat(rng.usize(LEADING_ZEROS)) } else { String::new() };
    let mut out = Vec::new();
    for chunk in [text, ""] {
        out.extend(format!("{zeros}{:x}", chunk.len()).bytes());
        if has(Form::ChunkExtensions) {
            let value = "x".repeat(rng.usize(EXTENSION_BYTES));
            out.extend(format!(";flag;name=\"a; {value}\"").bytes());
        }
        out.extend(b"\r\n");
        if !chunk.is_empty() {
            out.extend(format!("{chunk}\r\n").bytes());
        }
    }
    if has(Form::Trailers) {
        for number in 0..rng.usize(TRAILERS) {
            out.extend(format!("X-Trailer-{number}: {number}\r\n").bytes());
        }
    }
    out.extend(b"\r\n");
    out
}
