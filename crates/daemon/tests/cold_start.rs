//! Daemons that start while the log is down take the configuration from a peer.

use std::time::Duration;

use fleet::{Caller, Fleet, Settings, await_condition};

/// Timeout of every wait.
const LIMIT: Duration = Duration::from_secs(20);

#[test]
fn all_but_one() {
    let mut fleet = Fleet::start(Settings { daemons: 3, ..Settings::default() }).expect("starts");
    fleet.await_hosts(3).expect("daemons discover each other");
    let changed = fleet.document().replace("deadline = 2000ms", "deadline = 1500ms");
    let version = fleet.publish(&changed).expect("publishes");
    fleet.await_version(version).expect("in force everywhere");

    fleet.log.update(|it| it.down = true);
    for _killed in 1..3 {
        fleet.daemons.remove(1).kill();
    }
    for number in 1..3 {
        let daemon = fleet.start_daemon(number).expect("starts");
        fleet.daemons.push(daemon);
    }
    fleet.await_version(version).expect("in force on the new daemons");
    for it in &fleet.daemons {
        let answer = Caller::default().get(it.caller_address(), "/stock/1");
        assert_eq!(answer.outcome, "done", "{answer:?}");
    }

    fleet.log.update(|it| it.down = false);
    let later = fleet.publish(&fleet.document()).expect("publishes");
    assert!(later > version);
    fleet.await_version(later).expect("follows the log again");
}

#[test]
fn no_peer() {
    let mut fleet = Fleet::start(Settings { daemons: 0, ..Settings::default() }).expect("starts");
    fleet.log.update(|it| it.down = true);
    let daemon = fleet.start_daemon(0).expect("starts");
    let caller = Caller::default();
    for path in ["/stock/1", "/fireflydrum/entry"] {
        let answer = caller.get(daemon.caller_address(), path);
        assert_eq!((answer.status, answer.outcome.as_str()), (503, "not-run"), "{answer:?}");
    }
    fleet.log.update(|it| it.down = false);
    fleet.daemons.push(daemon);
    await_condition(LIMIT, "ready", || fleet.daemons[0].version().is_some())
        .expect("becomes ready");
    assert_eq!(caller.get(fleet.address(0), "/stock/1").outcome, "done");
}

#[test]
fn log_without_beginning() {
    let mut fleet = Fleet::start(Settings { daemons: 1, ..Settings::default() }).expect("starts");
    let version = fleet.daemons[0].version().expect("a version");
    // The log has deleted the publication and all snapshots.
    fleet.log.trim(document::publication::STREAM, version + 1);
    fleet.log.trim(document::snapshot::STREAM, u64::MAX);
    let daemon = fleet.start_daemon(1).expect("starts");
    fleet.daemons.push(daemon);
    fleet.await_version(version).expect("taken from the peer");
}
