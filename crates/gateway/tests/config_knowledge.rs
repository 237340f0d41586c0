//! What a daemon knows about which configuration is the newest, which final refusals rest on.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use clock::Manual;
use gateway::{
    Settings,
    config::{Config, Confirmation, Knowledge},
    gateway::Gateway,
    peer::ConfigReply,
    wire::{Names, Protocol},
};

/// Time limit for applying a configuration, in seconds.
const LIMIT: u64 = 2;

fn seconds(it: u64) -> Duration {
    Duration::from_secs(it)
}

/// Knowledge of a daemon with version 5 at the second `now`.
fn knowledge(confirmation: &Confirmation, now: u64) -> Knowledge {
    confirmation.knowledge(5, seconds(now), seconds(LIMIT))
}

/// A configuration without any confirmation, or with an old one, was as good as a confirmed one.
#[test]
fn age_limit() {
    let mut confirmation = Confirmation::default();
    confirmation.put_in_force(5);
    assert_eq!(knowledge(&confirmation, 10), Knowledge::Outdated);
    confirmation.confirm_read(5, 0, seconds(10));
    assert_eq!(knowledge(&confirmation, 11), Knowledge::Recent);
    assert_eq!(knowledge(&confirmation, 12), Knowledge::Outdated);
    confirmation.confirm(5, seconds(9));
    assert_eq!(knowledge(&confirmation, 11), Knowledge::Recent, "an older one changes nothing");
}

/// A version that a peer had announced did not count until it was in force.
#[test]
fn announced_version() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm_read(5, 0, seconds(10));
    confirmation.announce(7);
    assert_eq!(knowledge(&confirmation, 10), Knowledge::Behind);
    confirmation.confirm_read(5, 0, seconds(11));
    assert_eq!(knowledge(&confirmation, 11), Knowledge::Behind, "an older copy of the store");
    assert_eq!(confirmation.knowledge(7, seconds(11), seconds(LIMIT)), Knowledge::Recent);
}

/// A newer configuration that can't be read left the older one as if it were the newest.
#[test]
fn unreadable_version() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm_read(5, 0, seconds(10));
    confirmation.reject();
    confirmation.confirm_read(5, 0, seconds(11));
    assert_eq!(knowledge(&confirmation, 11), Knowledge::Unreadable);
    assert_eq!(confirmation.age(seconds(11)), None, "it must not confirm for peers either");
    confirmation.put_in_force(8);
    assert_eq!(confirmation.knowledge(8, seconds(11), seconds(LIMIT)), Knowledge::Recent);
}

/// A store that is back from an older copy lacks what operators write again a moment later.
#[test]
fn restored_store() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm_read(5, 0, seconds(10));
    confirmation.confirm_read(5, 1, seconds(13));
    assert_eq!(knowledge(&confirmation, 13), Knowledge::Outdated);
    confirmation.confirm_read(5, 0, seconds(16));
    assert_eq!(knowledge(&confirmation, 16), Knowledge::Outdated, "read before it was restored");
    confirmation.confirm_read(5, 1, seconds(16));
    assert_eq!(knowledge(&confirmation, 16), Knowledge::Recent);
}

/// Starts a daemon with version 5 that has never heard of another.
fn start() -> (Rc<Gateway>, Arc<Manual>) {
    let clock = Arc::new(Manual::default());
    clock.advance(seconds(100));
    let settings = Settings { config_apply: seconds(LIMIT), ..Settings::default() };
    let names = Names::default();
    let directory = |_: &[SocketAddr], _: Duration| String::new();
    let protocol = Protocol { names, parse_load: |_| None, directory };
    let gateway = Gateway::new(settings, Arc::<Manual>::clone(&clock), protocol, 1);
    assert!(gateway.set_config(Config { version: 5, ..Config::default() }, "test"));
    (gateway, clock)
}

/// A reply that waited in a socket, or on a slow link, seemed to be as new as its arrival.
#[test]
fn late_reply() {
    let (gateway, clock) = start();
    let query = gateway.begin_config_query();
    clock.advance(seconds(LIMIT));
    let reply = ConfigReply { query, newest: 5, age_ms: Some(0) };
    gateway.record_config_reply(reply);
    assert_eq!(gateway.knowledge(), Knowledge::Outdated);
    let query = gateway.begin_config_query();
    gateway.record_config_reply(reply);
    assert_eq!(gateway.knowledge(), Knowledge::Outdated, "a reply to an earlier query");
    gateway.record_config_reply(ConfigReply { query, ..reply });
    assert_eq!(gateway.knowledge(), Knowledge::Recent);
}

/// A peer that was behind itself confirmed the old configuration to others.
#[test]
fn peers_behind() {
    let (gateway, _clock) = start();
    for age_ms in [None, Some(2_000)] {
        let query = gateway.begin_config_query();
        gateway.record_config_reply(ConfigReply { query, newest: 5, age_ms });
        assert_eq!(gateway.knowledge(), Knowledge::Outdated, "{age_ms:?}");
    }
    let query = gateway.begin_config_query();
    gateway.record_config_reply(ConfigReply { query, newest: 6, age_ms: Some(0) });
    assert_eq!(gateway.knowledge(), Knowledge::Behind);
    assert!(gateway.set_config(Config { version: 6, ..Config::default() }, "test"));
    assert_eq!(gateway.knowledge(), Knowledge::Recent);
}
