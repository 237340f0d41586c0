//! A fleet that accepts orders, and helpers to place them.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;

use bytes::Bytes;
use fleet::{Answer, Call, Caller, Fleet, Service, Settings, await_condition};
use standin::backend;

/// Path of the orders.
pub(crate) const PATH: &str = "/stock/orders";
/// Timeout of every wait.
pub(crate) const LIMIT: Duration = Duration::from_secs(10);

/// A fleet that accepts orders.
pub(crate) struct Orders {
    pub(crate) fleet: Fleet,
    pub(crate) caller: Caller,
}

impl Orders {
    /// Starts daemons and waits until they have discovered each other and reach the log.
    pub(crate) fn start(daemons: usize, service_time: Duration, deadline_ms: u64) -> Self {
        let backend = backend::Settings { service_time, ..backend::Settings::default() };
        Self::start_with(daemons, Service { backend, deadline_ms, ..Service::default() })
    }

    /// Starts daemons with the given service.
    pub(crate) fn start_with(daemons: usize, service: Service) -> Self {
        let mut settings = Settings { daemons, services: vec![service], ..Settings::default() };
        settings.daemon.directions_keep = Duration::from_secs(1);
        let fleet = Fleet::start(settings).expect("fleet starts");
        fleet.await_hosts(daemons).expect("daemons discover each other");
        let res = Self { fleet, caller: Caller::default() };
        for host in 0..daemons {
            res.await_journal(host, true);
        }
        res
    }

    /// Waits until the sessions that a host issues are journaled, or not journaled.
    pub(crate) fn await_journal(&self, host: usize, journaled: bool) {
        let is_so = || self.lease(host, "journaled").1 == journaled;
        await_condition(LIMIT, "the state of the log is detected", is_so).expect("in time");
    }

    /// Requests a session from a host.
    pub(crate) fn session(&self, host: usize, kind: &str) -> String {
        self.lease(host, kind).0
    }

    /// Requests a session from a host, and returns whether it is journaled.
    pub(crate) fn lease(&self, host: usize, kind: &str) -> (String, bool) {
        let path = format!("/fireflydrum/entry?session={kind}");
        let answer = self.caller.get(self.fleet.address(host), &path);
        let json: serde_json::Value = serde_json::from_slice(&answer.body).expect("directions");
        let id = json["session"]["id"].as_str().unwrap_or_default().to_owned();
        (id, json["session"]["journaled"] == true)
    }

    /// Places an order and checks that its outcome agrees with the number of runs.
    #[track_caller]
    pub(crate) fn place(&self, host: usize, key: &str, body: &str) -> Answer {
        let address = self.fleet.address(host);
        let answer = self.caller.post(address, PATH, key, Bytes::from(body.to_owned()));
        let runs = self.runs(key);
        match answer.outcome.as_str() {
            "done" => assert_eq!(runs, 1, "{answer:?}"),
            "unknown" | "" => assert!(runs <= 1, "ran {runs} times: {answer:?}"),
            "not-run" if answer.status != 422 => assert_eq!(runs, 0, "{answer:?}"),
            "not-run" => {}
            other => panic!("outcome {other:?}"),
        }
        answer
    }

    /// Places an order with the given headers.
    pub(crate) fn call(&self, host: usize, headers: &[String], body: &str) -> Answer {
        let call = Call {
            method: "POST".into(),
            path: PATH.into(),
            headers: headers.to_vec(),
            body: Bytes::from(body.to_owned()),
        };
        self.caller.call(self.fleet.address(host), &call)
    }

    /// Returns how often backend servers started the order.
    pub(crate) fn runs(&self, key: &str) -> u64 {
        self.fleet.backends[0].iter().map(|it| it.counts(key).started).sum()
    }

    /// Stops or resumes the work of all backend servers.
    pub(crate) fn stall(&self, stalled: bool) {
        self.fleet.backends[0].iter().for_each(|it| it.update(|it| it.stalled = stalled));
    }

    #[track_caller]
    pub(crate) fn await_runs(&self, key: &str, runs: u64) {
        await_condition(LIMIT, "the order runs", || self.runs(key) == runs).expect("in time");
    }
}

/// Checks the outcome and the status of an answer.
#[track_caller]
pub(crate) fn check(answer: &Answer, outcome: &str, status: u16) {
    assert_eq!((answer.outcome.as_str(), answer.status), (outcome, status), "{answer:?}");
}
