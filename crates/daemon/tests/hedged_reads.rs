//! Urgent reads that take unusually long are hedged; other work is not.

use std::{thread, time::Duration};

use bytes::Bytes;
use fleet::{Caller, Fleet, Service, Settings, await_condition};
use standin::backend::{Backend, Faults};

/// Number of calls in each case.
const CALLS: usize = 20;

/// Results of the calls made while backend servers had a fault.
#[derive(Debug)]
struct Tally {
    done: usize,
    unknown: usize,
    started: u64,
}

/// Warms up a service, injects the fault into the `faulty` most used of its three servers, and
/// makes sequential calls.
fn check(
    rank: &str,
    extra: &str,
    method: &str,
    faulty: usize,
    fault: impl Fn(&mut Faults),
) -> Tally {
    let service = Service {
        rank: rank.into(),
        deadline_ms: 400,
        allow_unkeyed: true,
        extra_keys: extra.into(),
        ..Service::default()
    };
    let settings = Settings { services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("fleet starts");
    let caller = Caller::default();
    let call = || match method {
        "GET" => caller.get(fleet.address(0), "/stock/1"),
        _ => caller.post(fleet.address(0), "/stock/1", "", Bytes::from_static(b"x")),
    };
    for _warm_up in 0..CALLS {
        assert_eq!(call().outcome, "done");
    }
    let before = started(&fleet);
    let mut servers: Vec<_> = fleet.backends[0].iter().collect();
    servers.sort_by_key(|it| std::cmp::Reverse(it.total().started));
    for it in &servers[..faulty] {
        it.update(&fault);
    }
    let answers: Vec<_> = (0..CALLS).map(|_| call()).collect();
    let count = |outcome: &str| answers.iter().filter(|it| it.outcome == outcome).count();
    Tally { done: count("done"), unknown: count("unknown"), started: started(&fleet) - before }
}

fn started(fleet: &Fleet) -> u64 {
    fleet.backends[0].iter().map(|it| it.total().started).sum()
}

#[test]
fn urgent_read() {
    let res = check("urgent", "", "GET", 1, |it| it.stalled = true);
    assert_eq!(res.done, CALLS, "{res:?}");
}

#[test]
fn no_budget() {
    let res = check("urgent", "retry_budget_percent = 0", "GET", 3, |it| it.stalled = true);
    assert!(res.unknown > 0, "{res:?}");
    assert!(res.started <= CALLS as u64, "{res:?}");
}

#[test]
fn normal_read() {
    let res = check("normal", "", "GET", 3, |it| it.stalled = true);
    assert!(res.unknown > 0, "{res:?}");
}

#[test]
fn order_not_hedged() {
    let res = check("urgent", "", "POST", 3, |it| it.stalled = true);
    assert!(res.started <= CALLS as u64, "{res:?}");
    assert!(res.unknown > 0, "{res:?}");
}

#[test]
fn broken_then_unreachable() {
    // The first attempt may have run; a second one that isn't sent must not turn that into
    // `not-run`.
    let res = check("urgent", "", "GET", 1, |it| {
        it.answer_delay = Duration::from_millis(60);
        it.delivery = standin::backend::Delivery::Truncated;
    });
    assert_eq!(res.done + res.unknown, CALLS, "{res:?}");
}

/// The slower attempt is cancelled at the backend server by closing its connection.
#[test]
fn cancelled_attempt() {
    let fleet = Fleet::start(Settings::default()).expect("fleet starts");
    let caller = Caller::default();
    for _warm_up in 0..CALLS {
        assert_eq!(caller.get(fleet.address(0), "/stock/1").outcome, "done");
    }
    let stalled: &Backend = &fleet.backends[0][0];
    stalled.update(|it| it.stalled = true);
    thread::scope(|scope| {
        for _caller in 0..4 {
            scope.spawn(|| Caller::default().get(fleet.address(0), "/stock/1"));
        }
    });
    await_condition(Duration::from_secs(10), "cancelled", || stalled.load().in_flight == 0)
        .expect("the stalled server is free again although it never answered");
}
