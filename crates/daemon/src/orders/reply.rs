//! Replies to callers about their orders.

use std::time::Duration;

use hyper::StatusCode;
use order::{Outcome, Reason};

use super::message;
use crate::{
    caller::{
        body::Buffered,
        reply::{Outcome as CallerOutcome, Refusal},
    },
    proxy::Result,
    upstream::attempt::Answer,
};

/// Reason of a refusal for a malformed key.
pub const BAD_KEY: &str = "bad-key";
/// Reason of a refusal for a missing key.
pub const KEY_REQUIRED: &str = "key-required";
/// `Retry-After` of an order whose outcome may be known later.
const REPEAT_AFTER: Duration = Duration::from_secs(1);

/// Returns the recorded answer of an order, or a refusal with its outcome.
pub(super) fn answer(outcome: Outcome) -> Result<Answer> {
    match outcome {
        Outcome::Done(it) => Ok(Answer {
            status: StatusCode::from_u16(it.status).unwrap_or(StatusCode::BAD_GATEWAY),
            headers: message::map(&it.headers),
            body: Buffered::from(it.body),
        }),
        Outcome::Unkept => Err(Refusal {
            status: StatusCode::GONE,
            outcome: CallerOutcome::Done,
            reason: "answer-unkept",
            message: "the order ran; its answer is no longer kept".into(),
            ..Refusal::default()
        }),
        Outcome::NotRun(reason) => {
            Err(Refusal { outcome: CallerOutcome::NotRun, ..refusal(reason) })
        }
        Outcome::Unknown(reason) => Err(refusal(reason)),
    }
}

/// Builds a refusal with outcome `unknown`.
pub(super) fn refusal(reason: Reason) -> Refusal {
    let may_be_known_later = matches!(
        reason,
        Reason::IssuerGone | Reason::Journal | Reason::Pending | Reason::Undecided
    );
    Refusal {
        status: status(reason),
        outcome: CallerOutcome::Unknown,
        reason: reason.as_str(),
        message: reason.to_string(),
        retry_after: if may_be_known_later { REPEAT_AFTER } else { Duration::ZERO },
        ..Refusal::default()
    }
}

pub(super) fn bad_key(error: &order::Error) -> Refusal {
    bad_request(BAD_KEY, error.to_string())
}

pub(super) fn bad_acknowledgement() -> Refusal {
    let message = "Fireflydrum-Acknowledged must be a whole number";
    bad_request("bad-acknowledgement", message.into())
}

fn bad_request(reason: &'static str, message: String) -> Refusal {
    Refusal { status: StatusCode::BAD_REQUEST, reason, message, ..Refusal::default() }
}

fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Mismatch => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Acknowledged | Reason::SessionEnded | Reason::SessionUnknown => StatusCode::GONE,
        Reason::Pending => StatusCode::CONFLICT,
        Reason::Capacity | Reason::Window => StatusCode::TOO_MANY_REQUESTS,
        Reason::Deadline | Reason::Interrupted => StatusCode::GATEWAY_TIMEOUT,
        Reason::IssuerGone
        | Reason::Journal
        | Reason::Refused
        | Reason::Revoked
        | Reason::Undecided => StatusCode::SERVICE_UNAVAILABLE,
    }
}
