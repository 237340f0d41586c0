//! A graceful stop finishes all requests, and a leaving host gets no new ones after a few seconds.

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::Duration,
};

use fleet::{Caller, Fleet, Service, Settings, await_condition};
use platform::State as HostState;
use standin::backend;

/// Number of requests in progress when the stop begins.
const IN_PROGRESS: usize = 200;
/// Time that a backend server takes for each of them.
const SERVICE_TIME: Duration = Duration::from_millis(1_500);

fn start(daemons: usize, service_time: Duration) -> Fleet {
    let backend = backend::Settings { slots: 100, service_time, ..backend::Settings::default() };
    let service = Service { backend, deadline_ms: 10_000, ..Service::default() };
    let mut settings = Settings { daemons, services: vec![service], ..Settings::default() };
    settings.daemon.directions_keep = Duration::from_secs(1);
    Fleet::start(settings).expect("fleet starts")
}

#[test]
fn requests_in_progress() {
    let mut fleet = start(1, SERVICE_TIME);
    let address = fleet.address(0);
    let callers: Vec<_> = (0..IN_PROGRESS)
        .map(|it| thread::spawn(move || Caller::default().get(address, &format!("/stock/{it}"))))
        .collect();
    let daemon = fleet.daemons.remove(0);
    let in_progress = || daemon.state().in_progress.load(Ordering::Relaxed);
    await_condition(Duration::from_secs(10), "200 in progress", || in_progress() == IN_PROGRESS)
        .expect("all requests arrive");
    daemon.stop();
    let answers: Vec<_> = callers.into_iter().map(|it| it.join().expect("caller")).collect();
    let done = answers.iter().filter(|it| it.outcome == "done").count();
    assert_eq!(done, IN_PROGRESS, "{answers:?}");
}

/// Makes calls that follow the directions while one of three daemons leaves.
fn check(leave: impl FnOnce(&Fleet)) {
    let fleet = start(3, Duration::from_millis(2));
    fleet.await_hosts(3).expect("daemons discover each other");
    let stop = AtomicBool::new(false);
    let failed = AtomicUsize::new(0);
    let leaving = fleet.address(1);
    thread::scope(|scope| {
        for caller in 0..4 {
            let (fleet, stop, failed) = (&fleet, &stop, &failed);
            scope.spawn(move || {
                let http = Caller::default();
                while !stop.load(Ordering::Relaxed) {
                    let name = format!("caller-{caller}");
                    let hosts = fleet.daemons[0].state().entry_hosts(&name);
                    let answer = http.get(hosts[0], "/stock/1");
                    failed.fetch_add(usize::from(answer.outcome != "done"), Ordering::Relaxed);
                }
            });
        }
        leave(&fleet);
        let gone =
            || fleet.daemons.iter().all(|it| !it.state().entry_hosts("anyone").contains(&leaving));
        await_condition(Duration::from_secs(20), "out of the directions", gone).expect("it leaves");
        let refuses = || Caller::default().get(leaving, "/stock/1").outcome == "not-run";
        await_condition(Duration::from_secs(20), "refuses callers", refuses).expect("refused");
        stop.store(true, Ordering::Relaxed);
    });
    let answer = Caller::default().get(leaving, "/stock/1");
    assert!(answer.entry.contains(':'), "names other hosts: {answer:?}");
    assert_eq!(failed.load(Ordering::Relaxed), 0, "calls failed while a daemon left");
}

#[test]
fn operator_request() {
    check(|fleet| {
        let call =
            fleet::Call { method: "POST".into(), path: "/drain".into(), ..fleet::Call::default() };
        let answer = Caller::default().call(fleet.daemons[1].admin_address(), &call);
        assert_eq!(answer.status, 200);
    });
}

#[test]
fn host_list_mark() {
    check(|fleet| fleet.hosts.set(fleet.daemons[1].peer_address(), HostState::Leaving));
}
