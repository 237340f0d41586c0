//! Slow senders, too many connections and many large uploads don't affect other callers.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use bytes::Bytes;
use fleet::{Caller, Fleet, Service, Settings, await_condition};
use platform_standin::loopback;
use standin::backend;

/// Timeout of every wait.
const LIMIT: Duration = Duration::from_secs(30);
/// Callers that upload at the same time.
const UPLOADS: usize = 40;
/// Size of each upload in bytes.
const UPLOAD_BYTES: usize = 32 << 20;
/// Memory for request bodies, and for answers, in bytes.
const BODY_MEMORY_BYTES: u64 = 64 << 20;
/// Memory for everything else, in bytes; the daemon's control may use 256 MB.
const OTHER_MEMORY_BYTES: u64 = 256 << 20;

#[test]
fn slow_head() {
    let mut settings = Settings::default();
    settings.daemon.head_timeout = Duration::from_secs(1);
    let fleet = Fleet::start(settings).expect("fleet starts");
    let mut stream = TcpStream::connect(fleet.address(0)).expect("connects");
    stream.set_read_timeout(Some(LIMIT)).expect("sets a timeout");
    stream.write_all(b"GET /stock/1 HTTP/1.1\r\nhost: ").expect("sends");
    let mut rest = Vec::new();
    let ended = stream.read_to_end(&mut rest);
    assert!(ended.is_ok(), "the daemon closes the connection: {ended:?}");
}

#[test]
fn slow_body() {
    let service = Service { deadline_ms: 500, allow_unkeyed: true, ..Service::default() };
    let settings = Settings { services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("fleet starts");
    let mut stream = TcpStream::connect(fleet.address(0)).expect("connects");
    stream.set_read_timeout(Some(LIMIT)).expect("sets a timeout");
    let head = "POST /stock/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf";
    stream.write_all(head.as_bytes()).expect("sends");
    let mut answer = vec![0; 12];
    stream.read_exact(&mut answer).expect("an answer comes");
    assert_eq!(answer, b"HTTP/1.1 408");
}

#[test]
fn connection_limit() {
    let mut settings = Settings::default();
    settings.daemon.connection_limit = 2;
    let fleet = Fleet::start(settings).expect("fleet starts");
    let held: Vec<_> =
        (0..2).map(|_| TcpStream::connect(fleet.address(0)).expect("connects")).collect();
    let address = fleet.address(0);
    let third = thread::spawn(move || Caller::default().get(address, "/stock/1"));
    thread::sleep(Duration::from_millis(200));
    assert!(!third.is_finished(), "a third connection waits");
    drop(held);
    assert_eq!(third.join().expect("caller").outcome, "done");
}

/// A daemon in a separate process, so that its memory can be measured; killed when dropped.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _killed = self.0.kill();
        let _ended = self.0.wait();
    }
}

#[test]
fn upload_memory() {
    let backend = backend::Settings { body_limit_bytes: 40 << 20, ..backend::Settings::default() };
    let service = Service {
        deadline_ms: 60_000,
        allow_unkeyed: true,
        extra_keys: "body_limit = 40MiB\nanswer_limit = 40MiB\nqueue_limit = 1000".into(),
        backend,
        ..Service::default()
    };
    let settings = Settings { daemons: 0, services: vec![service], ..Settings::default() };
    let mut fleet = Fleet::start(settings).expect("fleet starts");
    let document = fleet.document();
    let _version = fleet.publish(&document).expect("publishes");
    let address = loopback::address();
    let daemon = start(&fleet, address);
    let serves = || Caller::default().get(address, "/stock/1").outcome == "done";
    await_condition(LIMIT, "the daemon serves", serves).expect("serves");

    let body = Bytes::from(vec![7; UPLOAD_BYTES]);
    let callers: Vec<_> = (0..UPLOADS)
        .map(|_| {
            let body = body.clone();
            thread::spawn(move || {
                let answer = Caller::default().post(address, "/stock/1", "", body.clone());
                answer.outcome == "done" && answer.body == body
            })
        })
        .collect();
    let whole = callers.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count();
    let peak = peak_memory_bytes(daemon.0.id());
    assert_eq!(whole, UPLOADS, "uploads that came back whole");
    let bound = 2 * BODY_MEMORY_BYTES + OTHER_MEMORY_BYTES;
    assert!(peak <= bound, "{peak} bytes at the peak, bound {bound}");
}

fn start(fleet: &Fleet, address: SocketAddr) -> Daemon {
    let text = format!(
        "[daemon]\ncaller_address = {address}\npeer_address = 127.0.0.1:0\n\
         admin_address = 127.0.0.1:0\nlog_address = {}\nhosts_address = {}\n\
         peers_token = loopback-fleet-token\ndomain = a\nlog_decisions = no\nlog_level = off\n\
         request_memory = 64MiB\nanswer_memory = 64MiB\n",
        fleet.log.address(),
        fleet.hosts.address(),
    );
    let path = format!("{}/memory.ini", env!("CARGO_TARGET_TMPDIR"));
    fs::write(&path, text).expect("settings are written");
    let child = Command::new(env!("CARGO_BIN_EXE_fireflydrumd"))
        .arg(&path)
        .stderr(Stdio::null())
        .spawn()
        .expect("daemon starts");
    Daemon(child)
}

/// Returns the peak resident memory of a process in bytes.
fn peak_memory_bytes(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("a process");
    let line = status.lines().find(|it| it.starts_with("VmHWM")).expect("a peak");
    let kib: u64 = line.split_whitespace().nth(1).expect("a number").parse().expect("a number");
    kib * 1024
}
