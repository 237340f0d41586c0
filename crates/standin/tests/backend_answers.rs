//! Answers of a backend server: complete, truncated, reset, swapped, refused and shed.

use std::{sync::Arc, thread, time::Duration};

use standin::backend::{
    self, ATTEMPT_HEADER, Backend, DEADLINE_HEADER, Delivery, Execution, Faults, Intake,
    LOAD_HEADER, Load, Reply, SHED_HEADER, Settings,
};
use ureq::{Agent, Body, http::Response};

const KEY: &str = "session.1";

fn agent() -> Agent {
    Agent::config_builder().http_status_as_error(false).build().new_agent()
}

fn post(backend: &Backend, attempt: &str, body: &[u8]) -> Result<Response<Body>, ureq::Error> {
    agent()
        .post(format!("http://{}/orders", backend.address()))
        .header("idempotency-key", KEY)
        .header(ATTEMPT_HEADER, attempt)
        .send(body)
}

fn read(res: &mut Response<Body>) -> Result<Vec<u8>, ureq::Error> {
    res.body_mut().with_config().limit(64 << 20).read_to_vec()
}

fn header(res: &Response<Body>, name: &str) -> String {
    res.headers().get(name).map_or("", |it| it.to_str().unwrap()).to_owned()
}

/// Sends one order under `faults` and compares the answer, `None` if it is incomplete, and the
/// server's counts.
fn check(faults: &Faults, answer: Option<(u16, &str)>, executed: Execution) {
    let backend = Backend::start(Settings::default()).unwrap();
    backend.update(|it| it.clone_from(faults));
    let res = post(&backend, "a-1", b"twelve bales")
        .and_then(|mut it| Ok((it.status().as_u16(), read(&mut it)?)));
    let expected = answer.map(|(status, body)| (status, body.as_bytes().to_vec()));
    assert_eq!(res.ok(), expected, "{faults:?}");
    assert_eq!(backend.execution(KEY), executed, "{faults:?}");
}

#[test]
fn faults_and_executions() {
    let ran = Execution { started: 1, finished: 1, shed: 0 };
    let shed = Execution { shed: 1, ..Execution::default() };
    let base = Faults::default();
    check(&base, Some((200, "twelve bales")), ran);
    check(&Faults { delivery: Delivery::Truncated, ..base.clone() }, None, ran);
    check(&Faults { delivery: Delivery::Reset, ..base.clone() }, None, ran);
    check(&Faults { delivery: Delivery::Swapped, ..base.clone() }, Some((200, "another")), ran);
    check(&Faults { intake: Intake::Drain, ..base.clone() }, Some((503, "")), shed);
    check(&Faults { intake: Intake::FailFast, ..base }, Some((500, "")), shed);
}

/// A truncated answer has the status and length of a complete one.
#[test]
fn truncated_answer() {
    let backend = Backend::start(Settings::default()).unwrap();
    backend.update(|it| it.delivery = Delivery::Truncated);
    let mut res = post(&backend, "a-1", b"twelve bales").unwrap();
    assert_eq!((res.status().as_u16(), header(&res, "content-length")), (200, "12".to_owned()));
    assert!(read(&mut res).is_err());
}

/// A swapped answer has the id of the attempt that it belongs to.
#[test]
fn swapped_ids() {
    let backend = Backend::start(Settings::default()).unwrap();
    let mut res = post(&backend, "a-1", b"first").unwrap();
    assert_eq!(header(&res, ATTEMPT_HEADER), "a-1");
    assert_eq!(read(&mut res).unwrap(), b"first");
    backend.update(|it| it.delivery = Delivery::Swapped);
    let mut res = post(&backend, "a-2", b"second").unwrap();
    assert_eq!(header(&res, ATTEMPT_HEADER), "a-1");
    assert_eq!(read(&mut res).unwrap(), b"first");
}

#[test]
fn large_uploads() {
    let backend = Backend::start(Settings { reply: Reply::Digest, ..Settings::default() }).unwrap();
    let body: Vec<u8> = (0..32 << 20).map(|it: u32| it.to_le_bytes()[it as usize % 3]).collect();
    let mut res = post(&backend, "a-1", &body).unwrap();
    assert_eq!(read(&mut res).unwrap(), backend::digest(&body).as_bytes());
    let too_large = vec![0; (32 << 20) + 1];
    // The server may close the connection before the body is sent completely; then the client gets
    // no status.
    let status = post(&backend, "a-2", &too_large).map_or(413, |it| it.status().as_u16());
    assert_eq!((status, backend.execution(KEY).started), (413, 1));
}

/// After `refuse` is cleared, the same server is reachable again.
#[test]
fn refuse_and_return() {
    let backend = Backend::start(Settings::default()).unwrap();
    backend.update(|it| it.refuse = true);
    while post(&backend, "a-1", b"x").is_ok() {}
    backend.update(|it| it.refuse = false);
    while post(&backend, "a-2", b"x").is_err() {}
    assert!(backend.execution(KEY).started >= 1);
}

/// Requests beyond the slots wait in the queue; those beyond the queue limit or their deadline are
/// shed.
#[test]
fn slots_and_queue() {
    let settings = Settings { slots: 1, queue_limit: 1, ..Settings::default() };
    let backend = Arc::new(Backend::start(settings).unwrap());
    backend.update(|it| it.stalled = true);
    let shared = Arc::clone(&backend);
    let first = thread::spawn(move || post(&shared, "a-1", b"x").unwrap().status().as_u16());
    while backend.load().in_flight == 0 {
        thread::yield_now();
    }

    let mut res = agent()
        .get(format!("http://{}/stock", backend.address()))
        .header(DEADLINE_HEADER, "20")
        .call()
        .unwrap();
    assert_eq!((res.status().as_u16(), header(&res, SHED_HEADER)), (503, "deadline".to_owned()));
    assert!(read(&mut res).unwrap().is_empty());

    let shared = Arc::clone(&backend);
    let second = thread::spawn(move || post(&shared, "a-2", b"x").unwrap().status().as_u16());
    while backend.load().queued == 0 {
        thread::yield_now();
    }
    let res = post(&backend, "a-3", b"x").unwrap();
    assert_eq!(header(&res, SHED_HEADER), "queue");
    assert_eq!(header(&res, LOAD_HEADER), "in_flight=1, queued=1");

    backend.update(|it| it.stalled = false);
    assert_eq!((first.join().unwrap(), second.join().unwrap()), (200, 200));
    assert_eq!(backend.total(), Execution { started: 2, finished: 2, shed: 2 });
}

#[test]
fn load_probe() {
    let settings = Settings { probe_time: Duration::from_millis(1), ..Settings::default() };
    let backend = Backend::start(settings).unwrap();
    let url = format!("http://{}{}", backend.address(), backend::LOAD_PATH);
    let mut res = agent().get(&url).call().unwrap();
    assert_eq!(read(&mut res).unwrap(), b"in_flight=0, queued=0");
    backend.update(|it| it.reported = Some(Load { in_flight: 5, queued: 9 }));
    let res = agent().get(&url).call().unwrap();
    assert_eq!(
        (header(&res, LOAD_HEADER), backend.probes()),
        ("in_flight=5, queued=9".to_owned(), 2)
    );
}
