//! A backend server that is leaving gets no new requests after a few seconds.

use std::{thread, time::Duration};

use fleet::{Caller, Fleet, Settings, await_condition};
use platform::State as Mark;
use standin::backend::Intake;

/// Longest time until a leaving server gets nothing new.
const LIMIT: Duration = Duration::from_secs(20);
/// Calls made to see that a server gets none of them.
const CALLS: usize = 60;

fn calls(fleet: &Fleet, daemon: usize) {
    let caller = Caller::default();
    for it in 0..CALLS {
        let answer = caller.get(fleet.address(daemon), &format!("/stock/{it}"));
        assert_eq!(answer.outcome, "done", "{answer:?}");
    }
}

fn started(fleet: &Fleet) -> u64 {
    fleet.backends[0][0].total().started
}

/// Waits until calls through `daemon` no longer reach the first server, then makes sure.
fn check(fleet: &Fleet, daemon: usize) {
    let quiet = || {
        let before = started(fleet);
        calls(fleet, daemon);
        started(fleet) == before
    };
    await_condition(LIMIT, "nothing new", quiet).expect("the leaving server gets nothing new");
    thread::sleep(Duration::from_secs(1));
    let before = started(fleet);
    calls(fleet, daemon);
    assert_eq!(started(fleet), before, "the leaving server got new requests again");
}

#[test]
fn marked_in_list() {
    let fleet = Fleet::start(Settings { daemons: 2, ..Settings::default() }).expect("starts");
    calls(&fleet, 0);
    assert!(started(&fleet) > 0, "the server takes part at first");
    fleet.hosts.set(fleet.backends[0][0].address(), Mark::Leaving);
    check(&fleet, 0);
    check(&fleet, 1);
    fleet.hosts.set(fleet.backends[0][0].address(), Mark::Live);
    let before = started(&fleet);
    let takes_part = || {
        calls(&fleet, 0);
        started(&fleet) > before
    };
    await_condition(LIMIT, "takes part", takes_part).expect("the server takes part again");
}

#[test]
fn marked_for_one_reader() {
    let mut fleet = Fleet::start(Settings { daemons: 1, ..Settings::default() }).expect("starts");
    // The second daemon reads a host list of its own that never learns of the mark.
    let stale = standin::hosts::Hosts::start().expect("host list starts");
    let daemon = fleet.start_daemon_with(1, |it| it.hosts_address = stale.address());
    fleet.daemons.push(daemon.expect("starts"));
    fleet.await_hosts(2).expect("daemons meet");
    fleet.hosts.set(fleet.backends[0][0].address(), Mark::Leaving);
    check(&fleet, 1);
}

#[test]
fn told_by_server() {
    let mut settings = Settings { daemons: 2, ..Settings::default() };
    settings.services[0].upstreams = 2;
    let fleet = Fleet::start(settings).expect("starts");
    fleet.await_hosts(2).expect("daemons meet");
    let server = &fleet.backends[0][0];
    server.update(|it| it.intake = Intake::Drain);
    let asked = || {
        calls(&fleet, 0);
        server.total().shed > 0
    };
    await_condition(LIMIT, "asked once", asked).expect("the server turns a request away");
    // The host list says nothing; the other daemon has to hear of it from the first.
    thread::sleep(Duration::from_secs(3));
    let before = server.total().shed;
    calls(&fleet, 1);
    calls(&fleet, 0);
    assert_eq!(server.total().shed, before, "the leaving server was asked again");
}

#[test]
fn sheds_by_itself() {
    let fleet = Fleet::start(Settings::default()).expect("starts");
    fleet.backends[0][0].update(|it| it.intake = Intake::Drain);
    calls(&fleet, 0);
    assert_eq!(started(&fleet), 0);
}
