//! Errors of calls to peers.

use hyper_util::client::legacy;
use jsonrpsee::core::{ClientError, http_helpers::HttpError};
use jsonrpsee_http_client::transport;

/// HTTP status of a request without the right token.
pub(crate) const UNAUTHORIZED: u16 = 401;

/// Result of a call to a peer.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A call to a peer failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The call certainly didn't reach the peer.
    #[error("peer not reached: {0}")]
    NotReached(String),
    /// The call may have reached the peer, but no usable answer was received.
    #[error("no answer from peer: {0}")]
    NoAnswer(String),
    /// The peer refused the call and did nothing.
    #[error("peer refused the call: {message} (code {code})")]
    Refused {
        /// JSON-RPC error code.
        code: i32,
        /// Message of the peer.
        message: String,
    },
    /// The peer refused the token.
    #[error("peer refused the token")]
    Unauthorized,
}

impl From<ClientError> for Error {
    fn from(err: ClientError) -> Self {
        match err {
            ClientError::Call(it) => {
                Self::Refused { code: it.code(), message: it.message().to_owned() }
            }
            ClientError::Transport(it) => match it.downcast_ref() {
                Some(transport::Error::Rejected { status_code: UNAUTHORIZED }) => {
                    Self::Unauthorized
                }
                Some(transport::Error::RequestTooLarge) => Self::NotReached(it.to_string()),
                Some(transport::Error::Http(HttpError::Stream(cause))) if is_connect(&**cause) => {
                    Self::NotReached(it.to_string())
                }
                _ => Self::NoAnswer(it.to_string()),
            },
            it => Self::NoAnswer(it.to_string()),
        }
    }
}

/// Whether the error occurred while connecting, before anything was sent.
fn is_connect(err: &(dyn std::error::Error + 'static)) -> bool {
    err.downcast_ref::<legacy::Error>().is_some_and(legacy::Error::is_connect)
}
