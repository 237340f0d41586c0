//! What a caller is answered about its order.

use crate::Answer;

/// Why an order has no answer.
#[derive(
    Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize, thiserror::Error,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The number was acknowledged, so its answer is no longer kept.
    #[error("the number was acknowledged earlier; its answer is no longer kept")]
    Acknowledged,
    /// No slot, queue or memory for the order.
    #[error("too many orders at once; take a new number and try later")]
    Capacity,
    /// The deadline passed before dispatch.
    #[error("the deadline passed before dispatch")]
    Deadline,
    /// The dispatch was made and no whole answer came.
    #[error("the order was sent and no whole answer came back")]
    Interrupted,
    /// The incarnation that issued the session or claimed the key can't be reached.
    #[error("the entry host that took the order can't be reached")]
    IssuerGone,
    /// The order could not be written to the log.
    #[error("the log took no record of the order; ask for a new session")]
    Journal,
    /// The key was first used with another request.
    #[error("the key was used before with another request")]
    Mismatch,
    /// The order is still in progress.
    #[error("the order is in progress; repeat it to wait on")]
    Pending,
    /// The order was recovered from the log, which holds no trace of it.
    #[error("the entry host that took the order was revoked before dispatch")]
    Revoked,
    /// The daemon's request path turned the order away.
    #[error("the order was turned away before dispatch")]
    Refused,
    /// The session is past its life or was closed.
    #[error("the session has ended; ask for a new one")]
    SessionEnded,
    /// No such session is kept here.
    #[error("the session is not known here any more")]
    SessionUnknown,
    /// Whether another entry host took the key can't be told while the log is down.
    #[error("the log can't be read, so earlier uses of the key are unknown; repeat it later")]
    Undecided,
    /// More numbers without acknowledgement than a session may have.
    #[error("too many unacknowledged orders in the session, which is closed; ask for a new one")]
    Window,
}

impl Reason {
    /// A short word for programs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Acknowledged => "acknowledged",
            Self::Capacity => "capacity",
            Self::Deadline => "deadline",
            Self::Interrupted => "interrupted",
            Self::IssuerGone => "issuer-gone",
            Self::Journal => "journal",
            Self::Mismatch => "mismatch",
            Self::Pending => "pending",
            Self::Revoked => "revoked",
            Self::Refused => "refused",
            Self::SessionEnded => "session-ended",
            Self::SessionUnknown => "session-unknown",
            Self::Undecided => "undecided",
            Self::Window => "window",
        }
    }
}

/// What a caller is answered about its order.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The order ran and this is its answer.
    Done(Answer),
    /// The order ran; its answer is no longer kept.
    Unkept,
    /// The order certainly never reached a backend server, and never will under this key.
    NotRun(Reason),
    /// The order may have run. It won't be run again, except for [`Reason::Undecided`], after which
    /// a repeat with the same key is right.
    Unknown(Reason),
}
