//! HTTP/1.1 messages, read strictly with `httparse` and written from their parts.
//!
//! A connection that pipelines, notices a caller that leaves while its request is in work, and sees
//! every byte behind an answer needs the bytes themselves; a library that owns the connection
//! hides them.

mod body;
mod head;
mod message;
mod write;

pub use body::{Body, Framing};
pub use head::{Head, Header};
pub use message::{Message, Reader};
pub use write::{answer, request};

/// A value, or what is wrong with a message.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What is wrong with a message.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes are no message of the protocol.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The head is larger than allowed.
    #[error("head of more than {0} bytes")]
    HeadTooLarge(usize),
    /// The body is larger than allowed.
    #[error("body of more than {0} bytes")]
    BodyTooLarge(usize),
    /// The length of the body is ambiguous or unknown.
    #[error("ambiguous framing: {0}")]
    Framing(&'static str),
}
