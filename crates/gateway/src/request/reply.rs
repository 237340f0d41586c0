//! Answers to callers.

use bytes::Bytes;

use super::Refusal;
use crate::http::{self, Head, Header, Message};

/// Size up to which a body is copied behind its head, in bytes: one part is cheaper to write than
/// two.
const COPIED_BYTES: usize = 4 << 10;

/// An answer to a caller.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// Head and body.
    pub message: Message,
    /// Whether the body is omitted because the request method was `HEAD`.
    pub without_body: bool,
    /// Whether the connection is closed after the answer.
    pub closes_connection: bool,
}

impl Reply {
    /// An upstream's answer, unchanged.
    #[must_use]
    pub fn forward(message: Message) -> Self {
        Self { message, ..Self::default() }
    }

    /// An answer with a text body.
    #[must_use]
    pub fn text(status: u16, content_type: &'static str, body: String) -> Self {
        let head = Head {
            status,
            minor_version: 1,
            headers: vec![header("Content-Type", Bytes::from_static(content_type.as_bytes()))],
            ..Head::default()
        };
        Self::forward(Message { head, body: body.into() })
    }

    /// A refusal; `id` is the name and value of the header that identifies the request.
    #[must_use]
    pub fn refuse(refusal: Refusal, id: Option<(&'static str, &Bytes)>) -> Self {
        let mut res = Self::text(refusal.status, "text/plain", refusal.message);
        let headers = &mut res.message.head.headers;
        if let Some((name, id)) = id {
            headers.push(header(name, id.clone()));
        }
        if refusal.status == 401 {
            headers.push(header("WWW-Authenticate", Bytes::from_static(b"Key")));
        }
        if let Some(it) = refusal.retry_after {
            headers.push(header("Retry-After", format!("{:.3}", it.as_secs_f64()).into()));
        }
        res
    }

    /// Serializes the answer without a copy of a large body; `is_last` announces that the connection
    /// is closed after it.
    #[must_use]
    pub fn into_parts(self, is_last: bool) -> (Vec<u8>, Bytes) {
        if self.without_body || self.message.body.len() <= COPIED_BYTES {
            return (http::answer(&self.message, self.without_body, is_last), Bytes::new());
        }
        (http::answer_head(&self.message, false, is_last), self.message.body)
    }
}

fn header(name: &'static str, value: Bytes) -> Header {
    Header { name: Bytes::from_static(name.as_bytes()), value }
}
