//! Parsing and formatting of keys and sessions.

use order::{Journal, Key, Session};
use quickcheck::{Arbitrary, Gen};

/// Number of cases of the round trip.
const CASES: u32 = 500;

fn check(text: &str, error: &str) {
    let found = text.parse::<Key>().map_err(|it| it.to_string());
    assert_eq!(found, Err(error.to_owned()), "{text}");
}

#[test]
fn malformed_keys_rejected() {
    let session = "the key begins like a session's but is none; it reads <session>.<n>";
    let number = "the order number after the session must be a whole number from 1";
    check("", "the idempotency key is empty");
    check("\"\"", "the idempotency key is empty");
    check("a b", "the idempotency key has a character that is not visible ASCII at byte 1");
    check(&"x".repeat(256), "the idempotency key has 256 bytes; at most 255 are taken");
    check("fd1j-1-2.1", session);
    check("fd1u-1-2-3.1", session);
    check("fd1u-+1-2.1", session);
    check("fd1u-A-2.1", session);
    check("fd1u-1-11112222333344445.1", session);
    check("fd1u-1-2", number);
    check("fd1u-1-2.0", number);
    check("fd1u-1-2.01", number);
    check("fd1u-1-2.+1", number);
    check("fd1u-1-2.18446744073709551616", number);
}

#[test]
fn own_keys_differ() {
    let parse = |it: &str| it.parse::<Key>().expect("a key");
    assert_eq!(parse("order-7"), parse(" \"order-7\" "));
    assert_ne!(parse("order-7"), parse("order-8"));
    assert!(matches!(parse("order-7"), Key::Own(_)));
}

#[test]
fn session_keys_roundtrip() {
    let mut gen_ = Gen::from_size_and_seed(64, 4);
    for _ in 0..CASES {
        let [incarnation, nonce, base] = [(); 3].map(|()| u64::arbitrary(&mut gen_));
        for journal in [Journal::Off, Journal::From(base)] {
            let session = Session { incarnation, nonce, journal };
            let number = base | 1;
            let text = format!("{session}.{number}");
            assert_eq!(text.parse(), Ok(Key::Numbered { session, number }), "{text}");
        }
    }
}
