//! A write of an upstream gets no answer and is done later, behind its report that it is leaving.

use std::{
    collections::BTreeMap,
    thread::{self, sleep},
    time::Duration,
};

use super::{Outcome, PROGRAM, Route, config, send};
use crate::{
    daemon::{Daemon, Settings},
    heartbeat::{Heartbeat, beat},
    record::Record,
    store::{OPERATOR, SERVERS, Store},
    upstream::Upstream,
};

/// `drain_ms` of a small deployment.
const DRAIN_MS: u64 = 2_000;

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::default();
    // Orders take longer than the time for which the leaving upstream is listed as ready again.
    let work = Duration::from_millis(800);
    let leaving = Upstream::start(record, "i-leaving", "orders", 1_000, work, false);
    let staying = Upstream::start(record, "i-staying", "orders", 1_000, work, false);
    let _heartbeat = Heartbeat::start(record, &store, &staying);
    let heartbeat = Heartbeat::start(record, &store, &leaving);
    let routes = [Route { prefix: "/order/", kind: "unsafe", service: "orders" }];
    store.put(OPERATOR, "config", &config(1, &["orders"], &routes));
    let daemon = Daemon::start(record, PROGRAM, Settings::new("edge-1", store.listen().address))?;
    let before = thread::scope(|scope| {
        let order = |number| {
            let daemon = &daemon;
            move || send(record, daemon, "POST", "/order/1", &format!("before-{number}"))
        };
        let orders: Vec<_> = (0..24)
            .map(|number| {
                sleep(Duration::from_millis(150));
                scope.spawn(order(number))
            })
            .collect();
        orders.into_iter().all(|it| it.join().is_ok_and(|it| it.is_ok_and(|it| it.status() == 200)))
    });
    if !before {
        return Err("the route is not served before the disruption".to_owned());
    }
    let seq = heartbeat.stop();
    sleep(Duration::from_millis(500));
    // Time 0: the write that is done late.
    let late = leaving.entry("ready", seq + 1);
    record.line(&format!("upstream i-leaving writes ready, seq {}; no answer", seq + 1));
    sleep(Duration::from_millis(1_500));
    beat(record, &store, &leaving, "ready", seq + 2);
    sleep(Duration::from_millis(1_700));
    leaving.leave();
    beat(record, &store, &leaving, "draining", seq + 3);
    let acknowledged = record.now_ms();
    sleep(Duration::from_millis(1_500));
    beat(record, &store, &leaving, "draining", seq + 4);
    sleep(Duration::from_millis(600));
    if has_trouble {
        store.put(SERVERS, &leaving.id, &late);
        let seq = seq + 1;
        record.line(&format!("the store does the write that got no answer: ready, seq {seq}"));
    }
    let mut answers = BTreeMap::new();
    thread::scope(|scope| {
        let mut orders = Vec::new();
        for number in 0..8 {
            let (daemon, id) = (&daemon, format!("order-{number}"));
            orders.push(scope.spawn(move || {
                let answer = send(record, daemon, "POST", "/order/1", &id);
                (id, answer.map_or(0, |it| it.status()))
            }));
            sleep(Duration::from_millis(120));
        }
        // The last heartbeat before its end.
        beat(record, &store, &leaving, "draining", seq + 5);
        sleep(Duration::from_millis(300));
        leaving.end();
        store.put(SERVERS, &leaving.id, "");
        answers.extend(orders.into_iter().filter_map(|it| it.join().ok()));
    });
    let runs = leaving.runs().into_iter().filter(|(_, at)| *at > acknowledged + DRAIN_MS);
    Ok(runs
        .map(|(id, at)| {
            let (after, status) = (at - acknowledged, answers.get(&id).copied().unwrap_or_default());
            format!(
                "DRAIN: {id} reached i-leaving {after} ms after its report was acknowledged; its client \
                 got {status}"
            )
        })
        .collect())
}
