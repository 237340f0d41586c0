//! HTTP/1.1 messages, parsed strictly with `httparse`.
//!
//! The daemon pipelines requests, detects that a caller disconnects while its request is in
//! progress, and checks for bytes after an answer. This needs access to the bytes of a connection,
//! which HTTP libraries hide.

mod body;
mod head;
mod message;
mod search;
mod write;

use bytes::BytesMut;

pub use body::{Body, Framing};
pub use head::{Head, Header};
pub use message::{Message, Reader};
pub use search::Search;
pub use write::{answer, answer_head, request, request_head};

/// Bytes that a read of a head may return; usual heads are smaller.
const HEAD_READ_BYTES: usize = 4 << 10;
/// Bytes that a read of a body may return.
const BODY_READ_BYTES: usize = 32 << 10;

/// Makes room in `buffer` for the next read, so that a message takes few of them.
pub fn reserve(buffer: &mut BytesMut, is_body: bool) {
    buffer.reserve(if is_body { BODY_READ_BYTES } else { HEAD_READ_BYTES });
}

/// A value, or what is wrong with a message.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What is wrong with a message.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes are not a valid message.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head exceeds the size limit.
    #[error("head of more than {0} bytes")]
    HeadTooLarge(usize),
    /// The body exceeds the size limit.
    #[error("body of more than {0} bytes")]
    BodyTooLarge(usize),
    /// The operating system gives no memory for the body.
    #[error("no memory for the body")]
    OutOfMemory,
    /// The length of the body is ambiguous or unknown.
    #[error("ambiguous framing: {0}")]
    Framing(&'static str),
}

impl Error {
    /// What is wrong, as one word for logs and metrics. It holds nothing that the sender chose.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Malformed(it) | Self::Framing(it) => it,
            Self::HeadTooLarge(_) => "head-too-large",
            Self::BodyTooLarge(_) => "body-too-large",
            Self::OutOfMemory => "body-memory",
        }
    }
}
