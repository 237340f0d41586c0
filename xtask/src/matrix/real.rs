//! Cells on real daemons on loopback: a fault while they serve, and the same promises.

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
use platform::State as Mark;
use standin::backend::{self, Backend, Delivery, Intake};

use super::{
    fault::Fault,
    promise::{Promise, Verdict},
};

/// Faults that real daemons are put to.
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
/// Daemons of a cell.
const DAEMONS: usize = 3;
/// Callers that read and place orders in turn.
const CALLERS: usize = 4;
/// Callers of a flood.
const FLOOD: usize = 24;
/// Time for which callers keep directions.
const DIRECTIONS_KEEP: Duration = Duration::from_secs(1);
/// Time before the fault, and its length.
const BEFORE: Duration = Duration::from_millis(300);
const DURING: Duration = Duration::from_secs(2);
/// Time after which a leaving backend server gets nothing new.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Time within which an accepted version is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(17);
/// Probes a second that all daemons together may send.
const PROBES_PER_S: u32 = 10;

/// Probes that each daemon may send at once.
const PROBE_BURST: f64 = 1.0;

/// One running cell.
struct Cell {
    fleet: Fleet,
    fault: Fault,
    stop: AtomicBool,
    next: AtomicU64,
    verdict: Mutex<Verdict>,
    started: Instant,
}

/// Plays a fault on real daemons.
pub(super) fn play(fault: Fault) -> Verdict {
    let started = Instant::now();
    let mut verdict = Verdict::default();
    match start() {
        Ok(fleet) => {
            let cell = Cell {
                fleet,
                fault,
                stop: AtomicBool::new(false),
                next: AtomicU64::new(0),
                verdict: Mutex::new(Verdict { is_reached: true, ..Verdict::default() }),
                started,
            };
            cell.play()
        }
        Err(e) => {
            verdict.violate(Promise::VersionStays, format!("the fleet did not start: {e}"));
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
    settings.daemon.directions_keep = DIRECTIONS_KEEP;
    let fleet = Fleet::start(settings)?;
    fleet.await_hosts(DAEMONS)?;
    Ok(fleet)
}

impl Cell {
    fn play(mut self) -> Verdict {
        let leaver = matches!(self.fault, Fault::HostKilled | Fault::HostLeaving)
            .then(|| self.fleet.daemons.remove(DAEMONS - 1));
        let mut addresses: Vec<_> =
            (0..self.fleet.daemons.len()).map(|it| self.fleet.address(it)).collect();
        addresses.extend(leaver.as_ref().map(daemon::Process::caller_address));
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let (cell, address) = (&self, addresses[caller % addresses.len()]);
                scope.spawn(move || cell.call(address, "stock"));
            }
            thread::sleep(BEFORE);
            self.begin();
            let flooded = match self.fault {
                Fault::UrgentFlood => Some("stock"),
                Fault::BulkFlood => Some("documents"),
                _ => None,
            };
            for _ in 0..flooded.map_or(0, |_| FLOOD) {
                let (cell, address) = (&self, addresses[0]);
                scope.spawn(move || cell.call(address, flooded.unwrap_or_default()));
            }
            match (leaver, self.fault) {
                (Some(it), Fault::HostKilled) => it.kill(),
                (Some(it), _) => self.stop_as_planned(it),
                (None, _) => {}
            }
            thread::sleep(DURING);
            self.check_leaving();
            self.end();
            thread::sleep(BEFORE);
            self.stop.store(true, Ordering::Relaxed);
        });
        self.check_version();
        self.check_probes();
        self.verdict.into_inner().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads and orders in turn until the cell stops.
    fn call(&self, address: std::net::SocketAddr, service: &str) {
        let caller = Caller::default();
        while !self.stop.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
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
            let what =
                format!("{:?} instead of {:?}", answer.body, Bytes::copy_from_slice(expected));
            verdict.violate(Promise::WholeOwnAnswer, what);
        }
    }

    fn check_order(&self, key: &str, answer: &Answer) {
        let runs: u64 = self.backends().map(|it| it.execution(key).started).sum();
        let mut verdict = self.verdict();
        verdict.exercise(Promise::AtMostOnce);
        if runs > 1 {
            verdict.violate(Promise::AtMostOnce, format!("order {key} ran {runs} times"));
        }
        if answer.outcome == "not-run" {
            verdict.exercise(Promise::NotRunIsTrue);
            if runs > 0 {
                let what = format!("order {key} ran and was told not to have run");
                verdict.violate(Promise::NotRunIsTrue, what);
            }
        }
    }

    fn begin(&self) {
        let target = &self.fleet.backends[0][0];
        match self.fault {
            Fault::Slow => target.update(|it| it.slow_factor = 20.0),
            Fault::SuddenSlow => target.update(|it| it.stalled = true),
            Fault::Drain => {
                target.update(|it| it.intake = Intake::Drain);
                self.fleet.hosts.set(target.address(), Mark::Leaving);
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

    /// Ends what can end; a server that leaves goes on leaving.
    fn end(&self) {
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
            // The requests come just before the daemon turns new ones away.
            thread::sleep(DIRECTIONS_KEEP.mul_f64(0.8));
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
                let what = format!("a request in progress at a planned stop got {answer:?}");
                verdict.violate(Promise::StopCutsNothing, what);
            }
        }
    }

    /// Waits for the grace of a leaving backend server, and makes sure that it gets nothing new.
    fn check_leaving(&self) {
        if self.fault != Fault::Drain {
            return;
        }
        thread::sleep(LEAVING_GRACE.saturating_sub(DURING));
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
            let what =
                format!("a leaving backend server got {new} requests after {LEAVING_GRACE:?}");
            verdict.violate(Promise::LeavingGetsNothing, what);
        }
    }

    /// Publishes a change and waits until it is in force everywhere. If editors race, a second change
    /// of the same section follows, made by somebody who hadn't read the first.
    fn check_version(&mut self) {
        let before = self.versions();
        let document = self.fleet.document().replace("floor_percent = 10", "floor_percent = 12");
        let published = self.fleet.publish(&document);
        if self.fault == Fault::EditorsRace {
            let _offset = self.fleet.log.inject(publication::STREAM, race().encode().into());
        }
        let since = Instant::now();
        let is_in_force = published.as_ref().is_ok_and(|it| self.fleet.await_version(*it).is_ok());
        thread::sleep(BEFORE);
        let after = self.versions();
        let mut verdict = self.verdict();
        verdict.exercise(Promise::VersionStays);
        if !is_in_force || since.elapsed() > IN_FORCE_LIMIT {
            verdict.violate(Promise::VersionStays, format!("not in force everywhere: {after:?}"));
        }
        let expected = published.ok();
        if after.iter().any(|it| *it != expected) || before > after {
            let what = format!("{before:?}, then {after:?} instead of {expected:?}");
            verdict.violate(Promise::VersionStays, what);
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
                let what = format!("{probes} probes in {seconds:.1} s, allowed {allowed:.0}");
                verdict.violate(Promise::ProbeBudget, what);
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

/// A change made without having read any but the first publication.
fn race() -> Publication {
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
