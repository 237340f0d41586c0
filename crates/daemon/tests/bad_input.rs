//! Invalid requests get a reply that says what is wrong, and are not dispatched.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use fleet::{Fleet, Service, Settings};

/// Timeout of reads.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn fleet() -> Fleet {
    let service = Service { extra_keys: "body_limit = 1KiB".into(), ..Service::default() };
    Fleet::start(Settings { services: vec![service], ..Settings::default() }).expect("fleet starts")
}

/// Sends raw bytes and returns everything received until the connection ends.
fn send(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connects");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("sets a timeout");
    // The daemon may answer and close before it has read everything.
    let _sent = stream.write_all(bytes);
    let mut res = Vec::new();
    let _ended = stream.read_to_end(&mut res);
    String::from_utf8_lossy(&res).into_owned()
}

fn check(request: &str, status: u16, reason: &str) {
    let fleet = fleet();
    let res = send(fleet.address(0), request.as_bytes());
    assert!(res.starts_with(&format!("HTTP/1.1 {status}")), "{request:?} got {res:?}");
    if !reason.is_empty() {
        assert!(res.contains("fireflydrum-outcome: not-run"), "{request:?} got {res:?}");
        assert!(res.contains(&format!("\"reason\":\"{reason}\"")), "{request:?} got {res:?}");
    }
    let started: u64 = fleet.backends[0].iter().map(|it| it.total().started).sum();
    assert_eq!(started, 0, "{request:?} was dispatched");
}

#[test]
fn unknown_route() {
    check("GET /nowhere HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n", 404, "no-route");
    check("GET /stockings HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n", 404, "no-route");
}

#[test]
fn unknown_method() {
    let request = "DELETE /stock/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    check(request, 405, "method-not-allowed");
}

#[test]
fn dot_segments() {
    for path in ["/stock/../booking", "/stock/%2e%2E/booking", "/stock/.%2e/x", "/./stock"] {
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        check(&request, 400, "bad-path");
    }
}

#[test]
fn bad_deadline() {
    for value in ["soon", "-1", "1.5", ""] {
        let request = format!(
            "GET /stock/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
             fireflydrum-deadline-ms: {value}\r\n\r\n"
        );
        check(&request, 400, "bad-deadline");
    }
}

#[test]
fn body_too_large() {
    let request = format!(
        "GET /stock/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         content-length: 2000\r\n\r\n{}",
        "x".repeat(2_000)
    );
    check(&request, 413, "body-too-large");
}

#[test]
fn missing_key() {
    let request =
        "POST /stock/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi";
    check(request, 400, "key-required");
}

#[test]
fn body_cut() {
    let fleet = fleet();
    let mut stream = TcpStream::connect(fleet.address(0)).expect("connects");
    let head = "POST /stock/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nonly this";
    stream.write_all(head.as_bytes()).expect("sends");
    drop(stream);
    fleet::await_condition(Duration::from_secs(5), "the daemon serves again", || {
        let answer = fleet::Caller::default().get(fleet.address(0), "/stock/2");
        answer.status == 200
    })
    .expect("serves again");
    let started: u64 = fleet.backends[0].iter().map(|it| it.total().started).sum();
    assert_eq!(started, 1, "only the second request may be dispatched");
}

#[test]
fn large_head() {
    let request = format!("GET /stock/1 HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(100_000));
    check(&request, 431, "");
}

#[test]
fn not_http() {
    check("\u{1}\u{2}\u{3} what is this\r\n\r\n", 400, "");
}
