//! Machine-readable parts of an order's refusals: reason, outcome and status.

mod orders;

use std::time::Duration;

use orders::{Orders, check};

const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Deadline of the routes, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

fn start() -> Orders {
    Orders::start(1, SERVICE_TIME, DEADLINE_MS)
}

/// Checks outcome, status, reason and request id of a refusal.
#[track_caller]
fn check_refusal(answer: &fleet::Answer, outcome: &str, status: u16, reason: &str) {
    check(answer, outcome, status);
    let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!((&body["outcome"], &body["reason"]), (&outcome.into(), &reason.into()), "{body}");
    assert_eq!(body["request"], answer.request.as_str(), "{body}");
}

#[test]
fn session_reasons() {
    let orders = start();
    let session = orders.session(0, "journaled");
    let key = |number: u64| format!("{session}.{number}");
    check(&orders.place(0, &key(1), "bale"), "done", 200);
    check_refusal(&orders.place(0, &key(1), "two bales"), "not-run", 422, "mismatch");
    let headers = [format!("idempotency-key: {}", key(2)), "fireflydrum-acknowledged: 1".into()];
    check(&orders.call(0, &headers, "bale"), "done", 200);
    check_refusal(&orders.place(0, &key(1), "bale"), "unknown", 410, "acknowledged");
    check(&orders.place(0, &key(257), "bale"), "done", 200);
    check_refusal(&orders.place(0, &key(258), "bale"), "not-run", 429, "window");
    check_refusal(&orders.place(0, &key(3), "bale"), "not-run", 410, "session-ended");
    check(&orders.place(0, &key(2), "bale"), "done", 200);
}

#[test]
fn ended_session() {
    let orders = start();
    let session = orders.session(0, "journaled");
    assert_eq!(orders.session(0, &session), session);
    let beyond = format!("{session}.900");
    check_refusal(&orders.place(0, &beyond, "bale"), "not-run", 429, "window");
    let (other, journaled) = orders.lease(0, &session);
    assert!(journaled && other != session, "{other} after {session}");
    check(&orders.place(0, &format!("{other}.1"), "bale"), "done", 200);
}

/// The key belongs to an order that ran, so an invalid header must not yield `not-run`.
#[test]
fn malformed_repeat() {
    let orders = start();
    let key = format!("{}.1", orders.session(0, "journaled"));
    check(&orders.place(0, &key, "bale"), "done", 200);
    for malformed in ["fireflydrum-deadline-ms: -5", "fireflydrum-acknowledged: none"] {
        let headers = [format!("idempotency-key: {key}"), malformed.into()];
        check(&orders.call(0, &headers, "bale"), "unknown", 400);
    }
}
