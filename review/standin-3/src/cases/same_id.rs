//! An upstream is replaced as planned: the new one starts first, under the id of the old one, which then
//! drains.

use std::{
    thread::{self, sleep},
    time::Duration,
};

use super::{Outcome, PROGRAM, Route, config, send};
use crate::{
    daemon::{Daemon, Settings},
    heartbeat::Heartbeat,
    record::Record,
    store::{OPERATOR, SERVERS, Store},
    upstream::Upstream,
};

/// `drain_ms` of a small deployment.
const DRAIN_MS: u64 = 2_000;
/// Time between two orders.
const INTERVAL: Duration = Duration::from_millis(50);
/// Orders before the new upstream starts, until the old one is told to leave, and until it ends.
const BEFORE: usize = 20;
const BOTH: usize = 60;
const LEAVING: usize = 60;
/// Orders behind the end of the old upstream.
const BEHIND: usize = 60;

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::default();
    let work = Duration::from_millis(150);
    let old = Upstream::start(record, "i-1", "orders", 1_000, work, true);
    let heartbeat = Heartbeat::start(record, &store, &old);
    let routes = [Route { prefix: "/order/", kind: "unsafe", service: "orders" }];
    store.put(OPERATOR, "config", &config(1, &["orders"], &routes));
    let daemon = Daemon::start(record, PROGRAM, Settings::new("edge-1", store.listen().address))?;
    let mut number = 0;
    let mut replaced = 0;
    let statuses: Vec<_> = thread::scope(|scope| {
        let mut answers = Vec::new();
        let mut send_orders = |count| {
            for _ in 0..count {
                let (daemon, id) = (&daemon, format!("order-{number}"));
                answers.push(scope.spawn(move || {
                    send(record, daemon, "POST", "/order/1", &id).map_or(0, |it| it.status())
                }));
                number += 1;
                sleep(INTERVAL);
            }
        };
        send_orders(BEFORE);
        heartbeat.stop();
        let id = if has_trouble { "i-1" } else { "i-2" };
        let new = Upstream::start(record, id, "orders", 2_000, work, true);
        let _heartbeat = Heartbeat::start(record, &store, &new);
        if !has_trouble {
            store.put(SERVERS, "i-1", "");
            record.line("the entry of upstream i-1 is removed; acknowledged");
        }
        replaced = record.now_ms();
        send_orders(BOTH);
        old.leave();
        send_orders(LEAVING);
        old.end();
        send_orders(BEHIND);
        answers.into_iter().filter_map(|it| it.join().ok()).collect()
    });
    let behind = &statuses[BEFORE + BOTH + LEAVING..];
    let refused = behind.iter().filter(|it| **it != 200).count();
    record.line(&format!(
        "{refused} of {BEHIND} orders behind the end of the old upstream are not served, although the new one \
         is ready"
    ));
    for it in daemon.log("event=upstream-") {
        record.line(&format!("log of the daemon: {it}"));
    }
    let late = old.runs().into_iter().filter(|(_, at)| *at > replaced + DRAIN_MS);
    Ok(late
        .map(|(id, at)| {
            let after = at - replaced;
            format!("DRAIN: {id} reached the old upstream {after} ms after its entry was gone")
        })
        .collect())
}
