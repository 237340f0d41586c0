//! Outcomes of orders whose entry host was killed, revoked or stopped.

mod orders;

use std::{thread, time::Duration};

use orders::{LIMIT, Orders, check};

const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Deadline of the routes, in milliseconds; longer than it takes to detect a host that was killed.
const DEADLINE_MS: u64 = 6_000;

fn stream_of(session: &str) -> String {
    let incarnation = session.split('-').nth(1).expect("a session");
    format!("orders-{incarnation}")
}

#[test]
fn killed_before_order() {
    let mut orders = Orders::start(2, SERVICE_TIME, DEADLINE_MS);
    let session = orders.session(0, "journaled");
    orders.fleet.daemons.remove(0).kill();
    let answer = orders.place(0, &format!("{session}.1"), "bale");
    check(&answer, "not-run", 503);
    let fresh = format!("{}.1", orders.session(0, "journaled"));
    check(&orders.place(0, &fresh, "bale"), "done", 200);
}

#[test]
fn killed_during_order() {
    let mut orders = Orders::start(2, SERVICE_TIME, DEADLINE_MS);
    let key = format!("{}.1", orders.session(0, "journaled"));
    orders.stall(true);
    let issuer = orders.fleet.address(0);
    let (caller, sent) = (orders.caller.clone(), key.clone());
    let first = thread::spawn(move || caller.post(issuer, orders::PATH, &sent, "bale".into()));
    orders.await_runs(&key, 1);
    orders.fleet.daemons.remove(0).kill();
    check(&orders.place(0, &key, "bale"), "unknown", 503);
    orders.stall(false);
    check(&orders.place(0, &key, "bale"), "unknown", 503);
    assert_eq!(first.join().expect("caller").status, 0, "the first caller was cut off");
    assert_eq!(orders.runs(&key), 1);
}

#[test]
fn killed_after_answer() {
    let mut orders = Orders::start(2, SERVICE_TIME, DEADLINE_MS);
    let session = orders.session(0, "journaled");
    let key = format!("{session}.1");
    check(&orders.place(0, &key, "bale"), "done", 200);
    let finished = || orders.fleet.log.records(&stream_of(&session)).len() >= 2;
    fleet::await_condition(LIMIT, "the outcome is journaled", finished).expect("in time");
    orders.fleet.daemons.remove(0).kill();
    let answer = orders.place(0, &key, "bale");
    check(&answer, "done", 200);
    assert_eq!(answer.body, "bale");
}

#[test]
fn killed_without_journal() {
    let mut orders = Orders::start(2, SERVICE_TIME, DEADLINE_MS);
    let session = orders.session(0, "unjournaled");
    check(&orders.place(0, &format!("{session}.1"), "bale"), "done", 200);
    orders.fleet.daemons.remove(0).kill();
    for number in 1..=2 {
        check(&orders.place(0, &format!("{session}.{number}"), "bale"), "unknown", 503);
    }
}

#[test]
fn killed_key_owner() {
    let mut orders = Orders::start(2, SERVICE_TIME, DEADLINE_MS);
    check(&orders.place(0, "mill-7", "bale"), "done", 200);
    orders.fleet.daemons.remove(0).kill();
    check(&orders.place(0, "mill-7", "bale"), "unknown", 503);
    assert_eq!(orders.runs("mill-7"), 1);
}

#[test]
fn revoked_daemon() {
    let orders = Orders::start(2, SERVICE_TIME, DEADLINE_MS);
    let session = orders.session(0, "journaled");
    check(&orders.place(0, &format!("{session}.1"), "bale"), "done", 200);
    let revoked = order::Record::new(order::Body::Revoked { by: 1 }).encode();
    let _offset = orders.fleet.log.inject(&stream_of(&session), revoked);
    for (host, number) in [(0, 2), (1, 3)] {
        check(&orders.place(host, &format!("{session}.{number}"), "bale"), "not-run", 503);
    }
    check(&orders.place(1, &format!("{session}.1"), "bale"), "done", 200);
    let fresh = orders.session(0, "journaled");
    assert_ne!(stream_of(&fresh), stream_of(&session));
    check(&orders.place(1, &format!("{fresh}.1"), "bale"), "done", 200);
}

/// A graceful stop finishes an order that a peer forwarded.
#[test]
fn stop_during_order() {
    let mut orders = Orders::start(2, SERVICE_TIME, DEADLINE_MS);
    let key = format!("{}.1", orders.session(0, "journaled"));
    orders.stall(true);
    let (caller, other, sent) = (orders.caller.clone(), orders.fleet.address(1), key.clone());
    let first = thread::spawn(move || caller.post(other, orders::PATH, &sent, "bale".into()));
    orders.await_runs(&key, 1);
    let issuer = orders.fleet.daemons.remove(0);
    let stopping = thread::spawn(move || issuer.stop());
    thread::sleep(Duration::from_secs(2));
    assert!(!stopping.is_finished(), "the order is still in progress");
    orders.stall(false);
    check(&first.join().expect("caller"), "done", 200);
    stopping.join().expect("the daemon stops");
    assert_eq!(orders.runs(&key), 1);
}
