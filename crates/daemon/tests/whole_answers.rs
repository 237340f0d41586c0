//! Every caller gets the whole answer to its own request, or no answer.

use std::time::Duration;

use fleet::{Caller, Fleet, Service, Settings};
use standin::backend::{Delivery, Faults};

/// Number of calls for each fault.
const CALLS: usize = 20;

/// Makes calls while the first of three backend servers has a fault. An answer of status 200 must
/// be whole and belong to the request. Returns how many calls were answered.
fn check(fault: impl Fn(&mut Faults)) -> usize {
    let service = Service { deadline_ms: 500, ..Service::default() };
    let settings = Settings { services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("fleet starts");
    fleet.backends[0][0].update(&fault);
    let caller = Caller::default();
    let mut answered = 0;
    for number in 0..CALLS {
        let path = format!("/stock/{number}?loft={number}");
        let res = caller.get(fleet.address(0), &path);
        if res.outcome == "done" && res.status == 200 {
            assert_eq!(res.body, path.as_bytes(), "a foreign or partial answer went out");
            answered += 1;
        } else {
            assert_ne!(res.status, 0, "the connection broke without a reply");
            assert!(["not-run", "unknown"].contains(&res.outcome.as_str()), "{res:?}");
        }
    }
    answered
}

#[test]
fn cut_answer() {
    assert_eq!(check(|it| it.delivery = Delivery::Truncated), CALLS);
}

#[test]
fn reset_answer() {
    assert_eq!(check(|it| it.delivery = Delivery::Reset), CALLS);
}

#[test]
fn swapped_answer() {
    assert_eq!(check(|it| it.delivery = Delivery::Swapped), CALLS);
}

#[test]
fn late_answer() {
    // The late server answers after the deadline.
    assert!(check(|it| it.answer_delay = Duration::from_secs(2)) > 0);
}

#[test]
fn stalled_server() {
    assert!(check(|it| it.stalled = true) > 0);
}

#[test]
fn refused_connection() {
    assert_eq!(check(|it| it.refuse = true), CALLS);
}
