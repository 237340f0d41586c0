//! The settings file names a new address of the store, and the daemon gets SIGHUP.

use std::{thread::sleep, time::Duration};

use super::{Outcome, PROGRAM, Route, config, send};
use crate::{
    daemon::{Daemon, SIGHUP, Settings},
    heartbeat::Heartbeat,
    record::Record,
    store::{OPERATOR, Store},
    upstream::Upstream,
};

/// Time for which the store is served at both addresses.
const OVERLAP: Duration = Duration::from_secs(10);
/// `stability_ms` and a second.
const STABLE: Duration = Duration::from_secs(4);
/// `config_apply_ms`, `max_skew_ms` and a second.
const APPLIED: Duration = Duration::from_secs(8);

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::default();
    let old = store.listen();
    let upstream = Upstream::start(record, "i-1", "stock", 1_000, Duration::from_millis(20), true);
    let _heartbeat = Heartbeat::start(record, &store, &upstream);
    let route = |prefix| Route { prefix, kind: "safe", service: "stock" };
    store.put(OPERATOR, "config", &config(1, &["stock"], &[route("/kept/"), route("/dropped/")]));
    let daemon = Daemon::start(record, PROGRAM, Settings::new("edge-1", old.address))?;
    let status =
        |path: &str, id: &str| send(record, &daemon, "GET", path, id).map(|it| it.status());
    if status("/kept/1", "before-1") != Ok(200) || status("/dropped/1", "before-2") != Ok(200) {
        return Err("the routes are not served before the change".to_owned());
    }
    if has_trouble {
        let new = store.listen();
        daemon.change_settings(&Settings { store: new.address, ..daemon.settings.clone() });
        daemon.signal(SIGHUP);
        sleep(OVERLAP);
        old.close();
        record.line("the store is no longer served at its old address");
    } else {
        daemon.signal(SIGHUP);
        sleep(OVERLAP);
    }
    sleep(STABLE);
    store.put(OPERATOR, "config", &config(2, &["stock"], &[route("/kept/")]));
    record.line("operator: version 2, without /dropped/; acknowledged");
    sleep(APPLIED);
    let mut broken = Vec::new();
    for number in 0..5 {
        let (id, kept) = (format!("after-{number}"), format!("kept-{number}"));
        let _status = status("/dropped/1", &id);
        let _status = status("/kept/1", &kept);
        if upstream.runs().iter().any(|(it, _)| *it == id) {
            broken.push(format!("CONFIG: {id} ran on a route that version 2 has dropped"));
        }
        sleep(Duration::from_millis(500));
    }
    for it in daemon.log("target=belief") {
        record.line(&format!("log of the daemon: {it}"));
    }
    Ok(broken)
}
