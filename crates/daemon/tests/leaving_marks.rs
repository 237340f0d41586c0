//! The marks of leaving backend servers are kept while the configuration changes.

use std::{
    collections::BTreeSet,
    hint,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    thread,
};

use daemon::state::State;
use document::{Document, Version};

/// Number of versions that come into force while a server is marked. The fault that this guards
/// against lost 0 to 6 marks in 5,000.
const VERSIONS: Version = 5_000;
/// Number of servers. The time to search all of them for the marked ones is the time in which a
/// mark could be lost.
const UPSTREAMS: u16 = 100;

fn address(number: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1 + number).into()
}

fn document() -> Document {
    let service = fleet::Service { upstreams: UPSTREAMS.into(), ..fleet::Service::default() };
    let addresses: Vec<_> = (0..UPSTREAMS).map(address).collect();
    let head = "[team operations]\nadmin = yes\n[rank urgent]\norder = 0\nfloor_percent = 40\n";
    Document::parse(&format!("{head}{}", service.sections(&addresses))).expect("is valid")
}

/// Whether the first server is chosen if all others were tried.
fn is_used(state: &State) -> bool {
    let table = state.table();
    let service = table.services.values().next().expect("a service");
    let others = table.document.upstreams.iter().filter(|it| it.address != address(0));
    let others: Vec<_> = others.map(|it| Arc::clone(&it.id)).collect();
    service.balancer().choose(state.clock.now(), &others).is_ok()
}

/// A version that came into force while a mark was set could apply the marks from before it, and
/// the leaving server got requests until its mark changed again.
#[test]
fn marked_while_configuration_changes() {
    let document = document();
    let state = State::new(daemon::Settings::default(), Arc::new(clock::System), 1);
    state.put_in_force(document.clone(), 0);
    assert!(is_used(&state), "a server that isn't marked is used");
    for version in 1..=VERSIONS {
        state.set_leaving_upstreams(BTreeSet::new());
        thread::scope(|scope| {
            scope.spawn(|| state.put_in_force(document.clone(), version));
            // The thread reads the marks right after it replaced the table.
            while state.table().version != Some(version) {
                hint::spin_loop();
            }
            state.set_leaving_upstreams([address(0)].into());
        });
        assert!(!is_used(&state), "the mark set while version {version} came into force is lost");
    }
}
