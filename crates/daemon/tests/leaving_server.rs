//! A backend server that is leaving gets no new requests after a few seconds.

use std::{net::SocketAddr, thread, time::Duration};

use fleet::{Caller, Fleet, Settings, await_condition};
use platform::State as HostState;
use standin::{backend::Intake, hosts::Hosts};

/// Timeout until a leaving server gets no new requests.
const LIMIT: Duration = Duration::from_secs(20);
/// Number of calls made to check that a server gets none of them.
const CALLS: usize = 60;

/// Starts a fleet of two daemons in the failure domain of the first server, and waits until they
/// discover each other. Daemons in another domain seldom choose that server, so calls through them
/// rarely reach it even if it isn't leaving.
///
/// The second daemon reads the host list at `list`, or that of the fleet.
fn start(settings: Settings, list: Option<SocketAddr>) -> Fleet {
    let mut fleet = Fleet::start(Settings { daemons: 1, ..settings }).expect("starts");
    let domain = fleet.daemons[0].state().settings.domain.clone();
    let daemon = fleet.start_daemon_with(1, |it| {
        it.hosts_address = list.unwrap_or(it.hosts_address);
        it.domain = domain;
    });
    fleet.daemons.push(daemon.expect("starts"));
    fleet.await_hosts(2).expect("daemons discover each other");
    fleet
}

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

/// Whether `daemon` has applied that the first server is leaving.
fn is_marked(fleet: &Fleet, daemon: usize) -> bool {
    let marked = fleet.daemons[daemon].state().leaving_upstreams();
    marked.contains(&fleet.backends[0][0].address())
}

/// Checks that calls through `daemon` reach the first server.
fn check_used(fleet: &Fleet, daemon: usize) {
    let before = started(fleet);
    calls(fleet, daemon);
    assert!(started(fleet) > before, "daemon {daemon} sends the server requests at first");
}

/// Waits until `daemon` knows that the first server is leaving, and checks that calls through it no
/// longer reach that server, then and a second later.
fn check_unused(fleet: &Fleet, daemon: usize) {
    await_condition(LIMIT, "marked", || is_marked(fleet, daemon)).expect("the mark is known");
    for when in ["as soon as it knew the mark", "a second later"] {
        let before = started(fleet);
        calls(fleet, daemon);
        let new = started(fleet) - before;
        let is_marked = is_marked(fleet, daemon);
        assert_eq!(
            new, 0,
            "daemon {daemon} sent {new} requests to the leaving server {when}; known: {is_marked}"
        );
        thread::sleep(Duration::from_secs(1));
    }
}

#[test]
fn marked_in_list() {
    // The second daemon is in another failure domain than the server.
    let fleet = Fleet::start(Settings { daemons: 2, ..Settings::default() }).expect("starts");
    check_used(&fleet, 0);
    fleet.hosts.set(fleet.backends[0][0].address(), HostState::Leaving);
    check_unused(&fleet, 0);
    check_unused(&fleet, 1);
    fleet.hosts.set(fleet.backends[0][0].address(), HostState::Live);
    let before = started(&fleet);
    let is_used = || {
        calls(&fleet, 0);
        started(&fleet) > before
    };
    await_condition(LIMIT, "is used", is_used).expect("the server gets requests again");
}

/// A mark that reached only one daemon's host list must take effect at the other as well.
#[test]
fn marked_for_one_reader() {
    // The second daemon reads another host list, in which the server is never marked.
    let stale = Hosts::start().expect("host list starts");
    let fleet = start(Settings::default(), Some(stale.address()));
    check_used(&fleet, 1);
    fleet.hosts.set(fleet.backends[0][0].address(), HostState::Leaving);
    check_unused(&fleet, 1);
}

#[test]
fn reported_by_server() {
    let mut settings = Settings::default();
    settings.services[0].upstreams = 2;
    let fleet = start(settings, None);
    check_used(&fleet, 1);
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
    assert!(is_marked(&fleet, 1), "the second daemon knows that the server is leaving");
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
