//! A final refusal that rests on the document needs one that is known to be the newest.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use clock::{Clock, Manual};
use daemon::{
    configuration::{Confirmation, Follower, MAX_AGE, NoPeers},
    state::State,
};
use fleet::{Answer, Call, Caller, Fleet, Service, Settings, await_condition};
use platform::{Log, Offset, Page};

/// Timeout of every wait.
const LIMIT: Duration = Duration::from_secs(20);
/// Statuses of [`requests`] by the first document.
const DENIED: [u16; 4] = [404, 405, 400, 413];
/// Routes that the first document lacks.
const ROUTES: &str = "\
[route added]\nservice = stock\nmethod = GET\npath = /added\nrank = urgent\nidempotent = yes\n\
[route deletion]\nservice = stock\nmethod = DELETE\npath = /stock\nrank = urgent\nidempotent = yes\n";

fn start(daemons: usize) -> Fleet {
    let service = Service { extra_keys: "body_limit = 1KiB".into(), ..Service::default() };
    Fleet::start(Settings { daemons, services: vec![service], ..Settings::default() })
        .expect("starts")
}

/// A document that allows all of [`requests`].
fn changed(fleet: &Fleet) -> String {
    let text = fleet.document().replace("1KiB", "4KiB");
    text.replace("allow_unkeyed = no", "allow_unkeyed = yes") + ROUTES
}

/// Sends a request for an unknown path, one of an unknown method, an order without a key and a large
/// body.
fn requests(fleet: &Fleet, host: usize) -> [Answer; 4] {
    let large = "x".repeat(2_000);
    [
        ("GET", "/added/1", ""),
        ("DELETE", "/stock/1", ""),
        ("POST", "/stock/1", "x"),
        ("GET", "/stock/1", &large),
    ]
    .map(|(method, path, body)| {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let call = Call { method: method.into(), path: path.into(), body, ..Call::default() };
        Caller::default().call(fleet.address(host), &call)
    })
}

fn statuses(fleet: &Fleet, host: usize) -> [u16; 4] {
    requests(fleet, host).map(|it| it.status)
}

/// Hosts that could not read the log gave final refusals for what had been published long before.
#[test]
fn log_down() {
    let mut fleet = start(2);
    for host in 0..2 {
        assert_eq!(statuses(&fleet, host), DENIED);
    }
    fleet.log.update(|it| it.down = true);
    let version = fleet.publish(&changed(&fleet)).expect("publishes");
    thread::sleep(MAX_AGE);
    for host in 0..2 {
        for it in requests(&fleet, host) {
            let text = String::from_utf8_lossy(&it.body);
            assert_eq!(
                (it.status, &*it.outcome, &*it.retry_after),
                (503, "not-run", "1"),
                "{text}"
            );
            assert!(text.contains("config-outdated"), "{text}");
        }
        let bad_key = Caller::default().post(fleet.address(host), "/stock/1", "fd1j", Bytes::new());
        assert_eq!((bad_key.status, &*bad_key.outcome), (503, "unknown"));
        assert_eq!(Caller::default().get(fleet.address(host), "/stock/1").status, 200);
        let decision = &fleet.daemons[host].state().recorder.last(2)[1];
        let age = decision.document_age_ms.map(Duration::from_millis);
        assert!(age >= Some(MAX_AGE), "{decision:?}");
    }
    fleet.log.update(|it| it.down = false);
    fleet.await_version(version).expect("in force everywhere");
    for host in 0..2 {
        assert_eq!(statuses(&fleet, host), [200; 4]);
        assert_eq!(Caller::default().get(fleet.address(host), "/none").status, 404);
    }
}

/// With the log at hand, refusals are final, also while and just after a change is put in force.
#[test]
fn log_reachable() {
    let mut fleet = start(1);
    for deadline_ms in 1_000..1_005 {
        let text = fleet.document().replace("2000ms", &format!("{deadline_ms}ms"));
        let version = fleet.publish(&text).expect("publishes");
        let in_force = || {
            assert_eq!(statuses(&fleet, 0), DENIED);
            fleet.daemons[0].version() == Some(version)
        };
        await_condition(LIMIT, "in force", in_force).expect("is put in force");
        assert_eq!(statuses(&fleet, 0), DENIED);
    }
}

/// A host that knew that it lacks records, as it can't fold them, still gave final refusals.
#[test]
fn newer_rules() {
    let fleet = start(1);
    let stream = document::publication::STREAM;
    let record = String::from_utf8(fleet.log.records(stream)[0].to_vec()).expect("text");
    let newer = record.replace("\"rules\":1", "\"rules\":9");
    assert_ne!(record, newer);
    let _offset = fleet.log.inject(stream, newer.into());
    await_condition(LIMIT, "halted", || fleet.daemons[0].state().confirmation().is_none())
        .expect("halts");
    assert_eq!(statuses(&fleet, 0), [503; 4]);
}

/// An empty log whose answers take [`MAX_AGE`].
struct SlowLog {
    clock: Arc<Manual>,
    stop: &'static AtomicBool,
}

impl Log for SlowLog {
    fn append(&self, _stream: &str, _record: &Bytes) -> platform::Result<Offset> {
        Ok(0)
    }

    fn read(&self, stream: &str, _from: Offset, _limit: usize) -> platform::Result<Page> {
        self.clock.advance(MAX_AGE);
        self.stop.store(stream == document::publication::STREAM, Ordering::Relaxed);
        Ok(Page::default())
    }
}

/// An answer that was long on its way, or waited for a suspended host, seemed to be as new as its
/// arrival.
#[test]
fn late_answer() {
    let clock = Arc::new(Manual::default());
    let stop: &'static AtomicBool = Box::leak(Box::default());
    let state = Arc::new(State::new(daemon::Settings::default(), Arc::<Manual>::clone(&clock), 1));
    let log = SlowLog { clock: Arc::clone(&clock), stop };
    Follower::new(Arc::clone(&state), Box::new(log), Box::new(NoPeers)).run(stop);
    let confirmation = state.confirmation().expect("the log was read");
    assert_eq!(confirmation.age(clock.since_boot()), MAX_AGE);
    assert!(!confirmation.covers(None, clock.since_boot()));
}

/// A refusal by an old version counted as confirmed by a read that had found a newer one.
#[test]
fn replaced_version() {
    let confirmation = Confirmation { version: Some(5), at: MAX_AGE };
    let covers = |version| confirmation.covers(Some(version), MAX_AGE);
    assert_eq!([4, 5, 6].map(covers), [false, true, true]);
}
