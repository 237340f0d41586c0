//! Planned stops of a real daemon: every request that it has read is answered or truly refused, in
//! whatever way it is in progress.

use std::{
    io::{Read, Write},
    net::TcpStream,
    path::PathBuf,
    sync::atomic::{AtomicBool, AtomicU8, Ordering},
    thread,
    time::{Duration, Instant},
};

use platform_standin::{
    Store, Upstream,
    config::{self, Route},
    template,
    upstream::Mode,
};
use rustix::process::Signal;
use soak::{Daemon, Options, Ports};

/// Time within which the daemon is ready, and after which reads fail.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time from the signal to the forced kill. Default of the daemon's settings.
const GRACE: Duration = Duration::from_secs(6);
/// Timeout of the routes, unless a test needs another.
const ROUTE_TIMEOUT_MS: u32 = 3_000;
/// Time after the signal from which no rule excuses a request that is cut off.
const LATE: Duration = Duration::from_millis(3_100);
/// Size of an upload, more than the sockets' buffers hold; and time from the answer until it is read, longer
/// than the callers' port stays open in a stop.
const UPLOAD_BYTES: usize = 16 << 20;
const READ_PAUSE: Duration = Duration::from_millis(4_200);
/// Timeout of its route and its deadline, in milliseconds.
const UPLOAD_LIMIT_MS: u128 = 9_000;
/// Interval of pipelined requests, shorter than the work of each.
const PIPELINE_INTERVAL: Duration = Duration::from_millis(40);

/// Loopback address of the next daemon: each test has its own.
static NEXT: AtomicU8 = AtomicU8::new(100);

struct Setup {
    store: Store,
    upstreams: Vec<Upstream>,
    daemon: Daemon,
    grace: Duration,
}

impl Setup {
    fn start() -> Self {
        Self::with(GRACE, ROUTE_TIMEOUT_MS)
    }

    /// A daemon whose settings are the template that the platform fills in.
    fn from_template() -> Self {
        Self::with_settings(GRACE, ROUTE_TIMEOUT_MS, |own, store| {
            let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet.ini");
            let setting = |name: &str| {
                let prefix = format!("{name} = ");
                own.lines().find_map(|it| it.strip_prefix(&prefix)).unwrap().to_owned()
            };
            let part = |name: &str, number: usize| {
                setting(name).split(':').nth(number).unwrap().to_owned()
            };
            template::fill(&std::fs::read_to_string(path).unwrap(), |key| {
                Some(match key {
                    "listen.front" => setting("caller_address"),
                    "listen.ready" => setting("ready_address"),
                    "listen.directory" => setting("directory_address"),
                    "ip" => part("peer_address", 0),
                    "internal_ports.0" => part("peer_address", 1),
                    "internal_ports.1" => part("metrics_address", 1),
                    "platform.address" => store.to_owned(),
                    "bounds.grace_period_s" => GRACE.as_secs().to_string(),
                    "bounds.config_apply_ms" | "bounds.drain_ms" => "2000".to_owned(),
                    "bounds.budget_window_s" => "10".to_owned(),
                    "bounds.retry_budget_ratio" => "0.2".to_owned(),
                    "bounds.retry_budget_slack" | "bounds.probes_per_s" => "40".to_owned(),
                    "limits.memory_mb" => "512".to_owned(),
                    "limits.link_mbps" | "limits.cpu_share" => "1".to_owned(),
                    "limits.max_fds" => "8000".to_owned(),
                    "node" | "zone" | "region" => "a".to_owned(),
                    "bootstrap" => "false".to_owned(),
                    _ => return None,
                })
            })
        })
    }

    fn with(grace: Duration, timeout_ms: u32) -> Self {
        Self::with_settings(grace, timeout_ms, |own, _store| own.to_owned())
    }

    /// Starts a daemon with the settings that `settings` makes of usual ones and the address of the store.
    fn with_settings(
        grace: Duration,
        timeout_ms: u32,
        settings: impl FnOnce(&str, &str) -> String,
    ) -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let store = Store::start();
        let upstreams: Vec<_> = (0..3).map(|it| Upstream::start(&format!("u{it}"))).collect();
        for it in &upstreams {
            store.put(config::UPSTREAMS, &it.id, &it.entry("stock", "ready"));
        }
        let routes = [
            Route { name: "read", prefix: "/read/", is_idempotent: true },
            Route { name: "order", prefix: "/order/", is_idempotent: false },
        ];
        let text = config::with_timeout(&config::text(1, &routes), timeout_ms.into());
        store.put(config::TOPIC, config::KEY, &text);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("stop-{number}"));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join(format!("daemon-{number}.ini"));
        let options = Options {
            daemon: PathBuf::from(env!("CARGO_BIN_EXE_fireflydrumd")),
            folder,
            daemons: 1,
            grace,
            ..Options::default()
        };
        let ports = Ports::next();
        let mut daemon = Daemon::new(&options, number, ports, store.address).unwrap();
        let text = settings(&std::fs::read_to_string(&path).unwrap(), &store.address.to_string());
        std::fs::write(&path, text).unwrap();
        daemon.start().unwrap();
        let until = Instant::now() + TIMEOUT;
        while !daemon.is_ready() {
            assert!(Instant::now() < until, "the daemon is not ready in time");
            thread::sleep(Duration::from_millis(20));
        }
        Self { store, upstreams, daemon, grace }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.daemon.caller_address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }

    fn terminate(&self) {
        self.daemon.signal(Signal::TERM).unwrap();
    }

    fn has_run(&self, id: &str) -> bool {
        self.upstreams.iter().any(|it| it.ids().iter().any(|it| it == id))
    }

    /// Checks that the daemon ends by itself.
    fn finish(mut self) {
        assert!(self.daemon.wait(self.grace).unwrap(), "the daemon did not end");
    }
}

/// Sends reads on one connection at fixed times, whether or not the earlier ones are answered, until
/// the daemon ends it. Returns the ids sent and those answered.
fn pipeline(mut stream: TcpStream, number: usize) -> (Vec<String>, Vec<String>) {
    let mut writer = stream.try_clone().unwrap();
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let sender = scope.spawn(|| {
            let mut sent = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                let id = format!("read-{number}-{}", sent.len());
                let text = config::request("GET", "/read/1?work_ms=120", &id, false);
                if writer.write_all(text.as_bytes()).is_err() {
                    break;
                }
                sent.push(id);
                thread::sleep(PIPELINE_INTERVAL);
            }
            sent
        });
        let mut bytes = Vec::new();
        // A reset ends the connection as well.
        drop(stream.read_to_end(&mut bytes));
        is_over.store(true, Ordering::Relaxed);
        let text = String::from_utf8(bytes).unwrap();
        assert!(!text.contains("HTTP/1.1 5"), "a request in progress was not served: {text}");
        let bodies = text.split("\r\n\r\n").skip(1);
        let ids = bodies.map(|it| it.split_once(" to ").map_or("", |it| it.1));
        let answered = ids.map(|it| it.split("HTTP/1.1").next().unwrap_or_default().to_owned());
        (sender.join().unwrap(), answered.collect())
    })
}

/// Status of the only answer on a connection, or 0 if the connection ended without a whole answer.
fn read_status(stream: &mut TcpStream) -> u16 {
    let mut bytes = Vec::new();
    // A reset after the answer is no matter.
    drop(stream.read_to_end(&mut bytes));
    let text = String::from_utf8(bytes).unwrap();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return 0 };
    let length = head.lines().find_map(|it| it.strip_prefix("Content-Length: ")).unwrap();
    assert_eq!(body.len(), length.parse::<usize>().unwrap(), "{head}");
    head.split(' ').nth(1).unwrap().parse().unwrap()
}

/// Connections on which a request was always in progress were never ended by a stop, and were cut at
/// its end (`docs/incidents/pipelined_stop.md`).
#[test]
fn pipelined_reads() {
    check_pipelined_reads(Setup::start());
}

/// The third case of the first review, whose own stand-in does not know the template's sections.
#[test]
fn pipelined_reads_from_template() {
    check_pipelined_reads(Setup::from_template());
}

fn check_pipelined_reads(setup: Setup) {
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let stream = setup.connect();
            thread::spawn(move || pipeline(stream, number))
        })
        .collect();
    thread::sleep(PIPELINE_INTERVAL * 10);
    setup.terminate();
    for it in callers {
        let (sent, answered) = it.join().unwrap();
        assert!(answered.len() > 3);
        let cut: Vec<_> =
            sent.iter().filter(|it| setup.has_run(it) && !answered.contains(it)).collect();
        assert!(cut.is_empty(), "passed on and not answered: {cut:?}");
    }
    setup.finish();
}

/// Orders that came late in the grace period were passed on and cut off at its end
/// (`docs/incidents/late_orders.md`).
#[test]
fn late_orders() {
    check_late_orders(Setup::start());
}

/// The fourth case of the first review, as above.
#[test]
fn late_orders_from_template() {
    check_late_orders(Setup::from_template());
}

fn check_late_orders(setup: Setup) {
    setup.terminate();
    thread::sleep(LATE);
    let orders: Vec<_> = (0..3)
        .map(|number| {
            let (mut stream, id) = (setup.connect(), format!("order-{number}"));
            thread::spawn(move || {
                let text = config::request("POST", "/order/1?work_ms=2900", &id, true);
                stream.write_all(text.as_bytes()).unwrap();
                (id, read_status(&mut stream))
            })
        })
        .collect();
    for it in orders {
        let (id, status) = it.join().unwrap();
        assert_eq!((status, setup.has_run(&id)), (503, false), "{id}");
    }
    setup.finish();
}

/// Orders that came more than 3 s after the signal, with more time left than the stop, were passed on
/// and broken off by the daemon at its end (`docs/incidents/late_long_orders.md`).
#[test]
fn late_long_orders() {
    let setup = Setup::with(Duration::from_secs(10), 8_000);
    let send = |mut stream: TcpStream, id: &'static str| {
        let text = config::request("POST", "/order/1?work_ms=6600", id, true);
        let text = config::with_deadline(&text, 15_000);
        thread::spawn(move || {
            stream.write_all(text.as_bytes()).unwrap();
            read_status(&mut stream)
        })
    };
    // Keeps a connection that was open before the signal.
    let mut kept = setup.connect();
    setup.terminate();
    thread::sleep(Duration::from_secs(1));
    let text = config::request("POST", "/order/1", "kept-part", true);
    let (first, rest) = text.split_at(text.len() / 2);
    kept.write_all(first.as_bytes()).unwrap();
    thread::sleep(LATE.saturating_sub(Duration::from_secs(1)));
    let late = send(setup.connect(), "late");
    let rest = config::with_deadline(rest, 15_000);
    kept.write_all(rest.as_bytes()).unwrap();
    assert_eq!((read_status(&mut kept), setup.has_run("kept-part")), (503, false));
    assert_eq!((late.join().unwrap(), setup.has_run("late")), (503, false));
    setup.finish();
}

/// Orders that wait for an upstream when the signal comes are refused once they might not end in time.
/// They were sent up to the end of the stop, and were broken off there
/// (`docs/incidents/late_long_orders.md`).
#[test]
fn waiting_orders() {
    let setup = Setup::with(GRACE, 15_000);
    setup.upstreams.iter().for_each(|it| it.set_mode(Mode::Held));
    let orders: Vec<_> = (0..24)
        .map(|number| {
            let (mut stream, id) = (setup.connect(), format!("order-{number}"));
            let text = config::request("POST", "/order/1?work_ms=2000", &id, true);
            let text = config::with_deadline(&text, 15_000);
            thread::spawn(move || {
                stream.write_all(text.as_bytes()).unwrap();
                (id, read_status(&mut stream))
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    setup.terminate();
    thread::sleep(Duration::from_secs(4));
    setup.upstreams.iter().for_each(|it| it.set_mode(Mode::Good));
    let results: Vec<_> = orders.into_iter().map(|it| it.join().unwrap()).collect();
    for (id, status) in &results {
        let expected = if setup.has_run(id) { 200 } else { 503 };
        assert_eq!(*status, expected, "{id} of {results:?}");
    }
    assert!(results.iter().any(|(_, status)| *status == 503), "none waited: {results:?}");
    setup.finish();
}

/// A request that can be answered before the end of the process is still served.
#[test]
fn late_but_short() {
    let setup = Setup::start();
    setup.terminate();
    thread::sleep(LATE);
    let mut stream = setup.connect();
    let text = config::request("POST", "/order/1?work_ms=50", "short", true);
    let text = config::with_deadline(&text, 1_000);
    stream.write_all(text.as_bytes()).unwrap();
    assert_eq!(read_status(&mut stream), 200);
    setup.finish();
}

/// Requests read in part at the end of the process, and one that an upstream still works on, get an
/// answer: the first are truly not run, the last may have run.
#[test]
fn unfinished_requests() {
    let setup = Setup::start();
    setup.upstreams.iter().for_each(|it| it.set_mode(Mode::Held));
    let order = config::request("POST", "/order/1", "whole", false);
    let half_body = config::request("POST", "/order/1", "half-body", false)
        .replace("Content-Length: 0", "Content-Length: 100")
        + "half of the body";
    let half_head = &order[..order.len() / 2];
    let sent = [order.as_str(), &half_body, half_head];
    let streams = sent.map(|text| {
        let mut stream = setup.connect();
        stream.write_all(text.as_bytes()).unwrap();
        stream
    });
    thread::sleep(Duration::from_millis(100));
    setup.terminate();
    let mut late_half_head = setup.connect();
    thread::sleep(Duration::from_secs(1));
    late_half_head.write_all(half_head.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(1_300));
    let mut late = setup.connect();
    late.write_all(config::request("POST", "/order/1", "late", false).as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(700));
    let mut last_half_head = setup.connect();
    last_half_head.write_all(half_head.as_bytes()).unwrap();
    assert_eq!(streams.map(|mut it| read_status(&mut it)), [504, 503, 408]);
    // The first takes longer than a head may take.
    assert_eq!([late_half_head, last_half_head].map(|mut it| read_status(&mut it)), [408, 503]);
    assert_eq!(read_status(&mut late), 504);
    assert!(!setup.has_run("half-body"));
    setup.upstreams.iter().for_each(|it| it.set_mode(Mode::Good));
    setup.finish();
}

/// A stop must wait for an upload whose upstream has answered early and reads on later
/// (`docs/incidents/early_answer.md`).
#[test]
fn answered_upload() {
    let setup = Setup::start();
    let upstreams = setup.upstreams.clone();
    let route = Route { name: "order", prefix: "/order/", is_idempotent: false };
    let text = config::text(2, &[route]).replace("1000000", &UPLOAD_BYTES.to_string());
    let text = config::with_timeout(&text, UPLOAD_LIMIT_MS);
    setup.store.put(config::TOPIC, config::KEY, &text);
    thread::sleep(GRACE / 2);
    let target = format!("/order/1?read_after_ms={}&is_early=1", READ_PAUSE.as_millis());
    let head = config::request("POST", &target, "order-1", true);
    let head = config::with_deadline(&config::with_length(&head, UPLOAD_BYTES), UPLOAD_LIMIT_MS);
    let mut stream = setup.connect();
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'c'; UPLOAD_BYTES]).unwrap();
    assert_eq!(read_status(&mut stream), 200);
    setup.terminate();
    setup.finish();
    let uploads: Vec<_> = upstreams.iter().flat_map(Upstream::uploads).collect();
    assert_eq!(uploads, [("order-1".to_owned(), UPLOAD_BYTES)]);
}
