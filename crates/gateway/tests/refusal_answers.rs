//! Answers to requests that are refused because of their key or their tenant's quota.

use std::time::Duration;

use gateway::request::{Refusal, Reply};

fn text(refusal: Refusal) -> String {
    let (head, body) = Reply::refuse(refusal, None).into_parts(false);
    String::from_utf8([head, body.to_vec()].concat()).unwrap()
}

/// Callers retry a 429 after the time it names, which may be a fraction of a second.
#[test]
fn quota() {
    let text = text(Refusal::quota(Duration::from_millis(1_250)));
    assert!(text.starts_with("HTTP/1.1 429 Too Many Requests\r\n"), "{text}");
    assert!(text.contains("\r\nRetry-After: 1.250\r\n"), "{text}");
    assert!(!text.contains("Connection: close"), "{text}");
}

/// A 401 names the way to send a key (RFC 9110, section 11.6.1), and no time to retry.
#[test]
fn unauthorized() {
    let text = text(Refusal::unauthorized());
    assert!(text.starts_with("HTTP/1.1 401 Unauthorized\r\n"), "{text}");
    assert!(text.contains("\r\nWWW-Authenticate: Key\r\n"), "{text}");
    assert!(!text.contains("Retry-After") && !text.contains("Connection: close"), "{text}");
}
