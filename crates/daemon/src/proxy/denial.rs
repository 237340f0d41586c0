//! Final refusals that rest on the document.
//!
//! Callers don't repeat a request after one, so the document must be known to be the newest.

use document::Version;

use crate::{
    caller::reply::Refusal,
    orders::{BAD_KEY, KEY_REQUIRED},
    proxy::{Draft, RETRY_AFTER},
    state::State,
};

/// Reason of a refusal for a path without a route.
pub const NO_ROUTE: &str = "no-route";
/// Reason of a refusal for a method that no route of the path has.
pub const METHOD_NOT_ALLOWED: &str = "method-not-allowed";
/// Reason of a refusal for a body above the limit.
pub const BODY_TOO_LARGE: &str = "body-too-large";

/// Reasons of the refusals that a newer document may turn into an answer. Keys are needed only on
/// routes that aren't idempotent.
const REASONS: [&str; 5] = [NO_ROUTE, METHOD_NOT_ALLOWED, BODY_TOO_LARGE, KEY_REQUIRED, BAD_KEY];

/// Replaces a final refusal that rests on the document of `version` unless that is known to be the
/// newest.
#[must_use]
pub fn confirm(
    state: &State,
    version: Option<Version>,
    refusal: Refusal,
    draft: &mut Draft,
) -> Refusal {
    if !REASONS.contains(&refusal.reason) {
        return refusal;
    }
    let now = state.clock.since_boot();
    let confirmation = state.confirmation();
    draft.set_document_age(confirmation.map(|it| it.age(now)));
    if confirmation.is_some_and(|it| it.covers(version, now)) {
        return refusal;
    }
    Refusal {
        reason: "config-outdated",
        message: "this entry host may lack the newest configuration; repeat, or use another".into(),
        retry_after: RETRY_AFTER,
        ..Refusal::default()
    }
}
