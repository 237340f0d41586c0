//! Another writer leaves an entry with fields missing under the id of an upstream.

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

/// Orders that are sent, and the time between two of them.
const ORDERS: usize = 120;
const INTERVAL: Duration = Duration::from_millis(50);
/// Orders before the other writer writes its entry.
const BEFORE: usize = 30;

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::default();
    let work = Duration::from_millis(100);
    let stock = Upstream::start(record, "i-stock", "stock", 1_000, work, true);
    let orders = Upstream::start(record, "i-orders", "orders", 1_000, work, true);
    let _heartbeats = [&stock, &orders].map(|it| Heartbeat::start(record, &store, it));
    let routes = [
        Route { prefix: "/stock/", kind: "safe", service: "stock" },
        Route { prefix: "/order/", kind: "unsafe", service: "orders" },
    ];
    store.put(OPERATOR, "config", &config(1, &["stock", "orders"], &routes));
    let daemon = Daemon::start(record, PROGRAM, Settings::new("edge-1", store.listen().address))?;
    for (method, path) in [("GET", "/stock/1"), ("POST", "/order/1")] {
        if send(record, &daemon, method, path, "before").map(|it| it.status()) != Ok(200) {
            return Err("the routes are not served before the disruption".to_owned());
        }
    }
    thread::scope(|scope| {
        for number in 0..ORDERS {
            if has_trouble && number == BEFORE {
                // As the upstream writes it, but with another service and without two fields.
                let odd = stock
                    .entry("ready", 0)
                    .replace("\"service\":\"stock\",\"version\":\"v1\"", "\"service\":\"orders\"")
                    .replace("\"seq\":0,", "");
                store.put(SERVERS, &stock.id, &odd);
                record.line(&format!("another writer writes servers/{}: {odd}", stock.id));
            }
            let (daemon, id) = (&daemon, format!("order-{number}"));
            scope.spawn(move || {
                let _answer = send(record, daemon, "POST", "/order/1", &id);
            });
            sleep(INTERVAL);
        }
    });
    let wrong = stock.runs().into_iter().filter(|(id, _)| id.starts_with("order-"));
    Ok(wrong
        .map(|(id, at)| format!("ROUTE: {id} ran at {at} ms at an upstream of stock"))
        .collect())
}
