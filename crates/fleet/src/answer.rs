//! What a caller got.

use bytes::Bytes;

/// What a caller got.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// Status; 0 if the connection broke.
    pub status: u16,
    /// Value of the outcome header; empty if there was none.
    pub outcome: String,
    /// Id of the request; empty if there was none.
    pub request: String,
    /// Entry hosts to use instead; empty if there were none.
    pub entry: String,
    /// Body of the answer, or what broke.
    pub body: Bytes,
}
