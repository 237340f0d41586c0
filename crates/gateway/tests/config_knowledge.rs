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

/// Knowledge at the second `now` of a daemon that knows of no newer version than its own.
fn knowledge(confirmation: &Confirmation, now: u64) -> Knowledge {
    confirmation.knowledge(5, 5, seconds(now), seconds(LIMIT))
}

/// A read that began at the second `at` and ended at once.
fn read(confirmation: &mut Confirmation, era: u64, at: u64) {
    confirmation.confirm_read(era, seconds(at), seconds(at));
}

/// A configuration without any confirmation, or with an old one, was as good as a confirmed one.
#[test]
fn age_limit() {
    let mut confirmation = Confirmation::default();
    assert_eq!(knowledge(&confirmation, 10), Knowledge::Outdated);
    read(&mut confirmation, 0, 10);
    assert_eq!(knowledge(&confirmation, 11), Knowledge::Recent);
    assert_eq!(knowledge(&confirmation, 12), Knowledge::Outdated);
    confirmation.confirm(seconds(9));
    assert_eq!(knowledge(&confirmation, 11), Knowledge::Recent, "an older one changes nothing");
    let behind = confirmation.knowledge(5, 7, seconds(11), seconds(LIMIT));
    assert_eq!(behind, Knowledge::Behind, "a live peer has a newer one");
}

/// A newer configuration that can't be read left the older one as if it were the newest.
#[test]
fn unreadable_version() {
    let mut confirmation = Confirmation::default();
    confirmation.set_unreadable(true);
    read(&mut confirmation, 0, 11);
    assert_eq!(knowledge(&confirmation, 11), Knowledge::Unreadable);
    assert_eq!(confirmation.age(seconds(11)), None, "it must not confirm for peers either");
    confirmation.set_unreadable(false);
    assert_eq!(knowledge(&confirmation, 11), Knowledge::Recent);
}

/// A store that is back from an older copy lacks what operators write again some seconds later.
#[test]
fn restored_store() {
    let mut confirmation = Confirmation::default();
    read(&mut confirmation, 0, 10);
    confirmation.confirm_read(1, seconds(12), seconds(13));
    assert_eq!(knowledge(&confirmation, 13), Knowledge::Outdated);
    read(&mut confirmation, 1, 17);
    assert_eq!(knowledge(&confirmation, 17), Knowledge::Outdated, "5 s from the end of the read");
    read(&mut confirmation, 0, 18);
    assert_eq!(knowledge(&confirmation, 18), Knowledge::Outdated, "read before it was restored");
    read(&mut confirmation, 1, 18);
    assert_eq!(knowledge(&confirmation, 18), Knowledge::Recent);
}

/// Starts a daemon with version 5 that knows of no other.
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
    let reply = ConfigReply { query, version: 5, age_ms: Some(0) };
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
        gateway.record_config_reply(ConfigReply { query, version: 5, age_ms });
        assert_eq!(gateway.knowledge(), Knowledge::Outdated, "{age_ms:?}");
    }
    let query = gateway.begin_config_query();
    gateway.record_config_reply(ConfigReply { query, version: 6, age_ms: Some(0) });
    assert_eq!(gateway.knowledge(), Knowledge::Outdated, "it confirms version 6 only");
    let query = gateway.begin_config_query();
    gateway.record_config_reply(ConfigReply { query, version: 4, age_ms: Some(0) });
    assert_eq!(gateway.knowledge(), Knowledge::Recent);
}

/// A request waited beyond its deadline, and each request anew while nobody could confirm anything.
#[test]
fn waiting_time() {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap().block_on(async {
        let (gateway, clock) = start();
        for (limit_ms, waited_ms) in [(50, 50), (1_000, 300), (1_000, 0)] {
            let started = tokio::time::Instant::now();
            let limit = Duration::from_millis(limit_ms);
            assert_eq!(gateway.await_confirmation(limit).await, Knowledge::Outdated);
            // Timers have a resolution of 1 ms.
            let waited = started.elapsed().as_millis();
            assert!((waited_ms..=waited_ms + 1).contains(&waited), "{waited} ms of {limit_ms}");
        }
        assert_eq!(gateway.confirmation_pause(), Duration::from_millis(500));
        clock.advance(Duration::from_millis(500));
        assert_eq!(gateway.confirmation_pause(), Duration::ZERO);
    });
}
