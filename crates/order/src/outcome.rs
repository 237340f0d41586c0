//! Outcomes of orders, as answered to callers.

use crate::Answer;

/// Why an order has no answer from a backend server.
#[derive(
    Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize, thiserror::Error,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The number was acknowledged, so its answer is no longer stored.
    #[error("the number was acknowledged earlier; its answer is no longer kept")]
    Acknowledged,
    /// No slot, queue space or memory is available for the order.
    #[error("too many orders at once; take a new number and try later")]
    Capacity,
    /// The deadline passed before dispatch.
    #[error("the deadline passed before dispatch")]
    Deadline,
    /// The order was dispatched and no complete answer was received.
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
    /// The issuer was revoked, and its journal has no record of the order.
    #[error("the entry host that took the order was revoked before dispatch")]
    Revoked,
    /// The daemon refused the order before dispatch.
    #[error("the order was turned away before dispatch")]
    Refused,
    /// The session has expired or was closed.
    #[error("the session has ended; ask for a new one")]
    SessionEnded,
    /// The session is not stored here.
    #[error("the session is not known here any more")]
    SessionUnknown,
    /// Another entry host may have claimed the key, which can't be determined while the log is
    /// down.
    #[error("the log can't be read, so earlier uses of the key are unknown; repeat it later")]
    Undecided,
    /// The session has more unacknowledged numbers than allowed.
    #[error("too many unacknowledged orders in the session, which is closed; ask for a new one")]
    Window,
}

impl Reason {
    /// The reason as a short machine-readable word.
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

/// The outcome of an order, as answered to the caller.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The order was executed, with this answer.
    Done(Answer),
    /// The order was executed; its answer is no longer stored.
    Unkept,
    /// The order was definitely not sent to a backend server, and never will be under this key.
    NotRun(Reason),
    /// The order may have been executed. It won't be executed again, except for
    /// [`Reason::Undecided`], after which the caller should repeat it with the same key.
    Unknown(Reason),
}
