//! Cells with real daemons on loopback: a single fault under load, checked against the same
//! promises.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use document::{Publication, publication};
use fleet::{Answer, Caller, Fleet, Service, Settings};
use platform::State as HostState;
use standin::backend::{self, Backend, Delivery, Intake};

use super::{
    fault::Fault,
    promise::{Promise, Verdict},
};

/// Faults that are injected with real daemons.
pub(super) const FAULTS: [Fault; 18] = [
    Fault::Slow,
    Fault::SuddenSlow,
    Fault::Drain,
    Fault::FailFast,
    Fault::Refused,
    Fault::Reset,
    Fault::Cut,
    Fault::Late,
    Fault::Swapped,
    Fault::BulkFlood,
    Fault::UrgentFlood,
    Fault::LogDown,
    Fault::LogSlow,
    Fault::LogAnswerLost,
    Fault::HostListStale,
    Fault::EditorsRace,
    Fault::HostKilled,
    Fault::HostLeaving,
];
/// Number of daemons in a cell.
const DAEMONS: usize = 3;
/// Number of callers, which alternate between reads and orders.
const CALLERS: usize = 4;
/// Number of additional callers during a flood.
const FLOOD_CALLERS: usize = 24;
/// Time for which callers use directions.
const DIRECTIONS_TTL: Duration = Duration::from_secs(1);
/// Time before a fault and after its end.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Duration of a fault.
const FAULT_DURATION: Duration = Duration::from_secs(2);
/// Time after which a leaving backend server must get no new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Time within which an accepted version must be in force on all daemons.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(17);
/// Probe budget of all daemons together.
const PROBES_PER_S: u32 = 10;

/// Number of probes that each daemon may send in a burst.
const PROBE_BURST: f64 = 1.0;

/// A running cell.
struct Cell {
    fleet: Fleet,
    fault: Fault,
    stop: AtomicBool,
    next_number: AtomicU64,
    verdict: Mutex<Verdict>,
    started: Instant,
}

/// Runs a cell with real daemons.
pub(super) fn run(fault: Fault) -> Verdict {
    let started = Instant::now();
    let mut verdict = Verdict::default();
    match start() {
        Ok(fleet) => {
            let cell = Cell {
                fleet,
                fault,
                stop: AtomicBool::new(false),
                next_number: AtomicU64::new(0),
                verdict: Mutex::new(Verdict { is_reached: true, ..Verdict::default() }),
                started,
            };
            cell.run()
        }
        Err(e) => {
            verdict.add_violation(Promise::VersionStays, format!("the fleet did not start: {e}"));
            verdict
        }
    }
}

fn start() -> fleet::Result<Fleet> {
    let backend = backend::Settings {
        slots: 4,
        service_time: Duration::from_millis(5),
        ..backend::Settings::default()
    };
    let service = |name: &str, rank: &str| Service {
        name: name.into(),
        rank: rank.into(),
        backend,
        deadline_ms: 1_000,
        allow_unkeyed: true,
        extra_keys: format!("probe_budget_per_s = {PROBES_PER_S}"),
        ..Service::default()
    };
    let services = vec![service("stock", "urgent"), service("documents", "bulk")];
    let mut settings = Settings { daemons: DAEMONS, services, ..Settings::default() };
    settings.daemon.directions_keep = DIRECTIONS_TTL;
    let fleet = Fleet::start(settings)?;
    fleet.await_hosts(DAEMONS)?;
    Ok(fleet)
}

impl Cell {
    fn run(mut self) -> Verdict {
        let stopping_daemon = matches!(self.fault, Fault::HostKilled | Fault::HostLeaving)
            .then(|| self.fleet.daemons.remove(DAEMONS - 1));
        let mut addresses: Vec<_> =
            (0..self.fleet.daemons.len()).map(|it| self.fleet.address(it)).collect();
        addresses.extend(stopping_daemon.as_ref().map(daemon::Process::caller_address));
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let (cell, address) = (&self, addresses[caller % addresses.len()]);
                scope.spawn(move || cell.call(address, "stock"));
            }
            thread::sleep(SETTLE_TIME);
            self.start_fault();
            let flooded = match self.fault {
                Fault::UrgentFlood => Some("stock"),
                Fault::BulkFlood => Some("documents"),
                _ => None,
            };
            for _ in 0..flooded.map_or(0, |_| FLOOD_CALLERS) {
                let (cell, address) = (&self, addresses[0]);
                scope.spawn(move || cell.call(address, flooded.unwrap_or_default()));
            }
            match (stopping_daemon, self.fault) {
                (Some(it), Fault::HostKilled) => it.kill(),
                (Some(it), _) => self.stop_as_planned(it),
                (None, _) => {}
            }
            thread::sleep(FAULT_DURATION);
            self.check_leaving();
            self.end_fault();
            thread::sleep(SETTLE_TIME);
            self.stop.store(true, Ordering::Relaxed);
        });
        self.check_version();
        self.check_probes();
        self.verdict.into_inner().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends reads and orders alternately until the cell stops.
    fn call(&self, address: std::net::SocketAddr, service: &str) {
        let caller = Caller::default();
        while !self.stop.load(Ordering::Relaxed) {
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            let path = format!("/{service}/{number}");
            if number.is_multiple_of(2) {
                let answer = caller.get(address, &path);
                self.check_answer(&answer, path.as_bytes());
                continue;
            }
            let key = format!("real-{number}");
            let body = Bytes::from(format!("order {number}"));
            let answer = caller.post(address, &path, &key, body.clone());
            self.check_answer(&answer, &body);
            self.check_order(&key, &answer);
            if answer.status == 0 {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn check_answer(&self, answer: &Answer, expected: &[u8]) {
        if answer.outcome != "done" || answer.status != 200 {
            return;
        }
        let mut verdict = self.verdict();
        verdict.exercise(Promise::WholeOwnAnswer);
        if answer.body != expected {
            let description =
                format!("{:?} instead of {:?}", answer.body, Bytes::copy_from_slice(expected));
            verdict.add_violation(Promise::WholeOwnAnswer, description);
        }
    }

    fn check_order(&self, key: &str, answer: &Answer) {
        let runs: u64 = self.backends().map(|it| it.counts(key).started).sum();
        let mut verdict = self.verdict();
        verdict.exercise(Promise::AtMostOnce);
        if runs > 1 {
            verdict.add_violation(Promise::AtMostOnce, format!("order {key} ran {runs} times"));
        }
        if answer.outcome == "not-run" {
            verdict.exercise(Promise::NotRunIsTrue);
            if runs > 0 {
                let description = format!("order {key} ran but was answered `not-run`");
                verdict.add_violation(Promise::NotRunIsTrue, description);
            }
        }
    }

    fn start_fault(&self) {
        let target = &self.fleet.backends[0][0];
        match self.fault {
            Fault::Slow => target.update(|it| it.slow_factor = 20.0),
            Fault::SuddenSlow => target.update(|it| it.stalled = true),
            Fault::Drain => {
                target.update(|it| it.intake = Intake::Drain);
                self.fleet.hosts.set(target.address(), HostState::Leaving);
            }
            Fault::FailFast => target.update(|it| it.intake = Intake::FailFast),
            Fault::Refused => target.update(|it| it.refuse = true),
            Fault::Reset => target.update(|it| it.delivery = Delivery::Reset),
            Fault::Cut => target.update(|it| it.delivery = Delivery::Truncated),
            Fault::Late => target.update(|it| it.answer_delay = Duration::from_millis(1_500)),
            Fault::Swapped => target.update(|it| it.delivery = Delivery::Swapped),
            Fault::LogDown => self.fleet.log.update(|it| it.down = true),
            Fault::LogSlow => self.fleet.log.update(|it| it.delay = Duration::from_millis(700)),
            Fault::LogAnswerLost => self.fleet.log.update(|it| it.lost_answers = 100),
            Fault::HostListStale => {
                self.fleet.hosts.update(|it| it.lag = Duration::from_secs(6));
            }
            _ => {}
        }
    }

    /// Ends the fault, except that a leaving backend server keeps leaving.
    fn end_fault(&self) {
        if self.fault != Fault::Drain {
            self.fleet.backends[0][0].update(|it| *it = backend::Faults::default());
        }
        self.fleet.log.update(|it| *it = standin::log::Faults::default());
        self.fleet.hosts.update(|it| *it = standin::hosts::Faults::default());
    }

    /// Stops a daemon as planned while requests are in progress on it.
    fn stop_as_planned(&self, daemon: daemon::Process) {
        let address = daemon.caller_address();
        self.backends().for_each(|it| it.update(|it| it.slow_factor = 60.0));
        let answers: Vec<Answer> = thread::scope(|scope| {
            scope.spawn(|| daemon.stop());
            // Sends the requests just before the daemon starts to reject new ones.
            thread::sleep(DIRECTIONS_TTL.mul_f64(0.8));
            let calls: Vec<_> = (0..CALLERS)
                .map(|it| {
                    scope.spawn(move || Caller::default().get(address, &format!("/documents/{it}")))
                })
                .collect();
            calls.into_iter().filter_map(|it| it.join().ok()).collect()
        });
        self.backends().for_each(|it| it.update(|it| it.slow_factor = 1.0));
        let mut verdict = self.verdict();
        for answer in answers {
            verdict.exercise(Promise::StopCutsNothing);
            if answer.outcome != "done" {
                let description = format!("a request in progress at a planned stop got {answer:?}");
                verdict.add_violation(Promise::StopCutsNothing, description);
            }
        }
    }

    /// Waits until a backend server has been leaving for [`LEAVING_GRACE`], then checks that it gets
    /// no new requests.
    fn check_leaving(&self) {
        if self.fault != Fault::Drain {
            return;
        }
        thread::sleep(LEAVING_GRACE.saturating_sub(FAULT_DURATION));
        let arrived = || {
            let total = self.fleet.backends[0][0].total();
            total.started + total.shed
        };
        let before = arrived();
        thread::sleep(LEAVING_GRACE * 2);
        let new = arrived() - before;
        let mut verdict = self.verdict();
        verdict.exercise(Promise::LeavingGetsNothing);
        if new > 0 {
            let description =
                format!("a leaving backend server got {new} requests after {LEAVING_GRACE:?}");
            verdict.add_violation(Promise::LeavingGetsNothing, description);
        }
    }

    /// Publishes a change and checks that it is in force on all daemons in time. With
    /// [`Fault::EditorsRace`], a conflicting change by an author who hasn't read the first one
    /// follows and must be rejected.
    fn check_version(&mut self) {
        let before = self.versions();
        let document = self.fleet.document().replace("floor_percent = 10", "floor_percent = 12");
        let published = self.fleet.publish(&document);
        if self.fault == Fault::EditorsRace {
            let _offset =
                self.fleet.log.inject(publication::STREAM, racing_publication().encode().into());
        }
        let since = Instant::now();
        let is_in_force = published.as_ref().is_ok_and(|it| self.fleet.await_version(*it).is_ok());
        thread::sleep(SETTLE_TIME);
        let after = self.versions();
        let mut verdict = self.verdict();
        verdict.exercise(Promise::VersionStays);
        if !is_in_force || since.elapsed() > IN_FORCE_LIMIT {
            verdict.add_violation(
                Promise::VersionStays,
                format!("not in force everywhere: {after:?}"),
            );
        }
        let expected = published.ok();
        if after.iter().any(|it| *it != expected) || before > after {
            let description = format!("{before:?}, then {after:?} instead of {expected:?}");
            verdict.add_violation(Promise::VersionStays, description);
        }
    }

    fn versions(&self) -> Vec<Option<document::Version>> {
        self.fleet.daemons.iter().map(daemon::Process::version).collect()
    }

    fn check_probes(&self) {
        let seconds = self.started.elapsed().as_secs_f64();
        let allowed = f64::from(PROBES_PER_S) * seconds + PROBE_BURST * DAEMONS as f64;
        for servers in &self.fleet.backends {
            let probes: u64 = servers.iter().map(Backend::probes).sum();
            let mut verdict = self.verdict();
            if probes > 0 {
                verdict.exercise(Promise::ProbeBudget);
            }
            if probes as f64 > allowed {
                let description =
                    format!("{probes} probes in {seconds:.1} s, allowed {allowed:.0}");
                verdict.add_violation(Promise::ProbeBudget, description);
            }
        }
    }

    fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.fleet.backends.iter().flatten()
    }

    fn verdict(&self) -> std::sync::MutexGuard<'_, Verdict> {
        self.verdict.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A change whose author has read only the first publication.
fn racing_publication() -> Publication {
    let text = "[rank bulk]\norder = 2\nfloor_percent = 15".to_owned();
    Publication {
        id: "race".into(),
        author: "operations".into(),
        base: 1,
        made_at_s: 0,
        note: String::new(),
        changes: vec![publication::Change::Set { text }],
    }
}
