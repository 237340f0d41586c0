//! A bound in the settings becomes a fraction; then the daemons are restarted in turn as planned.

use std::{thread::sleep, time::Duration};

use super::{Outcome, PROGRAM, Route, config, send};
use crate::{
    daemon::{Daemon, SIGHUP, Settings},
    heartbeat::Heartbeat,
    record::Record,
    store::{OPERATOR, Store},
    upstream::Upstream,
};

/// Starts of a daemon by the platform, one after another.
const STARTS: usize = 3;
/// Delay with which the platform starts a process again that has ended.
const START_DELAY: Duration = Duration::from_secs(1);

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::default();
    let upstream = Upstream::start(record, "i-1", "stock", 1_000, Duration::from_millis(20), true);
    let _heartbeat = Heartbeat::start(record, &store, &upstream);
    let routes = [Route { prefix: "/stock/", kind: "safe", service: "stock" }];
    store.put(OPERATOR, "config", &config(1, &["stock"], &routes));
    let address = store.listen();
    let start = |host| Daemon::start(record, PROGRAM, Settings::new(host, address));
    let mut daemons = [start("edge-1")?, start("edge-2")?];
    for it in &daemons {
        if send(record, it, "GET", "/stock/1", "before").map(|it| it.status()) != Ok(200) {
            return Err("the route is not served before the change".to_owned());
        }
    }
    let grace_s = if has_trouble { "6.5" } else { "7" };
    for it in &daemons {
        it.change_settings(&Settings { grace_s, ..it.settings.clone() });
        it.signal(SIGHUP);
    }
    sleep(Duration::from_secs(3));
    let mut broken = Vec::new();
    for it in &mut daemons {
        let mut started = it.restart(Duration::from_secs_f64(6.5));
        for _ in 1..STARTS {
            if started.is_err() {
                sleep(START_DELAY);
                started = it.start_again();
            }
        }
        if let Err(e) = started {
            broken.push(format!("Fault: the program doesn't start in {STARTS} tries: {e}"));
            let errors = it.errors();
            let last = errors.lines().last().and_then(|it| it.rsplit_once("settings.ini"));
            record.line(&format!("standard error: settings.ini{}", last.map_or("", |it| it.1)));
        }
    }
    let mut served = 0;
    for number in 0..6 {
        let daemon = &daemons[number % daemons.len()];
        let res = send(record, daemon, "GET", "/stock/1", &format!("after-{number}"));
        served += usize::from(res.is_ok_and(|it| it.status() == 200));
    }
    record.line(&format!("{served} of 6 requests are served behind the restarts"));
    Ok(broken)
}
