//! A request that isn't idempotent is dispatched at most once, whatever happens to its answer.

use std::{io::ErrorKind, net::TcpStream, time::Duration};

use bytes::Bytes;
use fleet::{Caller, Fleet, Service, Settings, await_condition};
use standin::backend::{Backend, Delivery, Faults, Intake};

/// Number of orders sent for each fault.
const ORDERS: u64 = 12;
/// Timeout until a backend server refuses connections.
const LIMIT: Duration = Duration::from_secs(10);

/// Outcomes that the callers got, and how many orders were started.
#[derive(Debug, Default, Eq, PartialEq)]
struct Tally {
    done: u64,
    not_run: u64,
    unknown: u64,
    started: u64,
}

/// Sends orders without keys while the first of three backend servers has a fault.
fn check(fault: impl FnOnce(&mut Faults)) -> Tally {
    send_orders(&start(fault))
}

/// Starts a fleet whose first backend server has a fault.
fn start(fault: impl FnOnce(&mut Faults)) -> Fleet {
    let service = Service { allow_unkeyed: true, deadline_ms: 1_000, ..Service::default() };
    let settings = Settings { services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("fleet starts");
    fleet.backends[0][0].update(fault);
    fleet
}

fn send_orders(fleet: &Fleet) -> Tally {
    let caller = Caller::default();
    let mut res = Tally::default();
    for number in 0..ORDERS {
        let before = started(&fleet.backends[0]);
        let body = Bytes::from(format!("order {number}"));
        let answer = caller.post(fleet.address(0), "/stock/orders", "", body);
        let begun = started(&fleet.backends[0]) - before;
        assert!(begun <= 1, "an order was started {begun} times");
        match answer.outcome.as_str() {
            "done" => res.done += 1,
            "not-run" => {
                assert_eq!(begun, 0, "an order with outcome not-run was started");
                res.not_run += 1;
            }
            "unknown" => res.unknown += 1,
            other => panic!("outcome {other:?} in {answer:?}"),
        }
        res.started += begun;
    }
    res
}

fn started(backends: &[Backend]) -> u64 {
    backends.iter().map(|it| it.total().started).sum()
}

#[test]
fn cut_answer() {
    let res = check(|it| it.delivery = Delivery::Truncated);
    assert_eq!(res.started, ORDERS);
    assert!(res.unknown > 0, "{res:?}");
}

#[test]
fn reset_answer() {
    let res = check(|it| it.delivery = Delivery::Reset);
    assert_eq!(res.started, ORDERS);
    assert!(res.unknown > 0, "{res:?}");
}

#[test]
fn refused_connection() {
    let fleet = start(|it| it.refuse = true);
    // The server closes its listener a moment after the update. An order sent before that could be
    // written to a connection that is never accepted; its outcome would be unknown.
    let address = fleet.backends[0][0].address();
    let refuses =
        || TcpStream::connect(address).is_err_and(|it| it.kind() == ErrorKind::ConnectionRefused);
    await_condition(LIMIT, "connections are refused", refuses).expect("in time");
    let res = send_orders(&fleet);
    assert_eq!(res, Tally { done: ORDERS, started: ORDERS, ..Tally::default() });
}

#[test]
fn shedding_server() {
    let res = check(|it| it.intake = Intake::Drain);
    assert_eq!(res.done, ORDERS, "{res:?}");
}

#[test]
fn healthy_server() {
    let res = check(|_none| {});
    assert_eq!(res, Tally { done: ORDERS, started: ORDERS, ..Tally::default() });
}
