//! A backend server that is leaving gets no new requests after a few seconds.

use std::{thread, time::Duration};

use fleet::{Caller, Fleet, Settings, await_condition};
use platform::State as HostState;
use standin::backend::Intake;

/// Timeout until a leaving server gets no new requests.
const LIMIT: Duration = Duration::from_secs(20);
/// Number of calls made to check that a server gets none of them.
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

/// Waits until calls through `daemon` no longer reach the first server, and checks that it stays
/// so.
fn check(fleet: &Fleet, daemon: usize) {
    let is_unused = || {
        let before = started(fleet);
        calls(fleet, daemon);
        started(fleet) == before
    };
    await_condition(LIMIT, "nothing new", is_unused).expect("the leaving server gets nothing new");
    thread::sleep(Duration::from_secs(1));
    let before = started(fleet);
    calls(fleet, daemon);
    assert_eq!(started(fleet), before, "the leaving server got new requests again");
}

#[test]
fn marked_in_list() {
    let fleet = Fleet::start(Settings { daemons: 2, ..Settings::default() }).expect("starts");
    calls(&fleet, 0);
    assert!(started(&fleet) > 0, "the server gets requests at first");
    fleet.hosts.set(fleet.backends[0][0].address(), HostState::Leaving);
    check(&fleet, 0);
    check(&fleet, 1);
    fleet.hosts.set(fleet.backends[0][0].address(), HostState::Live);
    let before = started(&fleet);
    let is_used = || {
        calls(&fleet, 0);
        started(&fleet) > before
    };
    await_condition(LIMIT, "is used", is_used).expect("the server gets requests again");
}

#[test]
fn marked_for_one_reader() {
    let mut fleet = Fleet::start(Settings { daemons: 1, ..Settings::default() }).expect("starts");
    // The second daemon reads another host list, in which the server is never marked.
    let stale = standin::hosts::Hosts::start().expect("host list starts");
    let daemon = fleet.start_daemon_with(1, |it| it.hosts_address = stale.address());
    fleet.daemons.push(daemon.expect("starts"));
    fleet.await_hosts(2).expect("daemons discover each other");
    fleet.hosts.set(fleet.backends[0][0].address(), HostState::Leaving);
    check(&fleet, 1);
}

#[test]
fn reported_by_server() {
    let mut settings = Settings { daemons: 2, ..Settings::default() };
    settings.services[0].upstreams = 2;
    let fleet = Fleet::start(settings).expect("starts");
    fleet.await_hosts(2).expect("daemons discover each other");
    let server = &fleet.backends[0][0];
    server.update(|it| it.intake = Intake::Drain);
    let shed = || {
        calls(&fleet, 0);
        server.total().shed > 0
    };
    await_condition(LIMIT, "shed once", shed).expect("the server sheds a request");
    // The server isn't marked in the host list; heartbeats of the first daemon report it to the
    // second.
    thread::sleep(Duration::from_secs(3));
    let before = server.total().shed;
    calls(&fleet, 1);
    calls(&fleet, 0);
    assert_eq!(server.total().shed, before, "the leaving server got another request");
}

#[test]
fn shedding_server() {
    let fleet = Fleet::start(Settings::default()).expect("starts");
    fleet.backends[0][0].update(|it| it.intake = Intake::Drain);
    calls(&fleet, 0);
    assert_eq!(started(&fleet), 0);
}
