//! `publish` and `edit` wait until a version is in force on every live host, and `drain` until a
//! host has stopped.

mod util;

use std::time::Duration;

use cli::Code;
use clock::Clock;
use util::{Fixture, address};

const EDIT: [&str; 5] = ["edit", "upstream", "one", "--set", "slots=9"];

/// Edits while `on_sleep` changes the hosts; compares the exit code and the lagging hosts. Returns
/// the time waited.
fn check(on_sleep: fn(&Fixture), code: Code, lagging: &[&str]) -> Duration {
    let mut fixture = Fixture::published();
    fixture.on_sleep = on_sleep;
    let started = fixture.clock.now();
    let outcome = fixture.run(&EDIT).expect("a publication");
    assert_eq!(outcome.code, code, "{}", outcome.text);
    let found: Vec<_> = outcome.text.lines().filter(|it| it.contains("lags")).collect();
    assert_eq!(found, lagging);
    fixture.clock.now() - started
}

fn in_force(fixture: &Fixture, host: usize) {
    fixture.hosts.borrow_mut()[host].version = Some(1);
}

#[test]
fn all_follow() {
    let waited = check(
        |fixture| {
            in_force(fixture, 0);
            if fixture.sleeps.get() > 5 {
                in_force(fixture, 1);
            }
        },
        Code::Done,
        &[],
    );
    assert!(waited > Duration::from_secs(1), "{waited:?}");
}

#[test]
fn one_lags() {
    let expected = format!("  {} lags: no version, configuration following", address(1));
    let waited = check(|fixture| in_force(fixture, 0), Code::Lagging, &[&expected]);
    assert!(waited >= Duration::from_secs(17), "{waited:?}");
}

#[test]
fn one_silent() {
    let expected = format!("  {0} lags: host {0}: refused", address(1));
    let silence = |fixture: &Fixture| {
        in_force(fixture, 0);
        fixture.hosts.borrow_mut()[1].answers = false;
    };
    check(silence, Code::Lagging, &[&expected]);
}

/// A leaving host isn't waited for.
#[test]
fn one_leaves() {
    let leave = |fixture: &Fixture| {
        in_force(fixture, 0);
        fixture.hosts.borrow_mut()[1].leaving = true;
    };
    check(leave, Code::Done, &[]);
}

#[test]
fn drain_waits() {
    let mut fixture = Fixture::published();
    fixture.on_sleep = |fixture| {
        if fixture.sleeps.get() > 3 {
            fixture.hosts.borrow_mut()[1].answers = false;
        }
    };
    let host = address(1).to_string();
    let outcome = fixture.run(&["drain", &host]).expect("a drained host");
    assert_eq!((outcome.text, outcome.code), (format!("{host} has stopped\n"), Code::Done));
    fixture.on_sleep = |_| {};
    let outcome =
        fixture.run(&["drain", &address(0).to_string(), "--wait", "1"]).expect("a report");
    assert_eq!(outcome.code, Code::Lagging);
}
