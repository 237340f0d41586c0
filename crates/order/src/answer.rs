//! A backend server's answer as it is kept for repeats.

use bytes::Bytes;

/// A whole answer of a backend server.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body; empty if the backend server named none.
    pub content_type: String,
    /// Whole body.
    pub body: Bytes,
}

impl Answer {
    /// Memory that the answer holds, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.content_type.len() + self.body.len()
    }
}
