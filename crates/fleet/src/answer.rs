//! An answer to a caller.

use bytes::Bytes;

/// An answer to a caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 if the connection broke.
    pub status: u16,
    /// Value of the outcome header; empty if it is absent.
    pub outcome: String,
    /// Id of the request; empty if it is absent.
    pub request: String,
    /// Entry hosts to use instead; empty if the header is absent.
    pub entry: String,
    /// Value of `Retry-After`; empty if the header is absent.
    pub retry_after: String,
    /// Body of the answer, or the error message if the connection broke.
    pub body: Bytes,
}
