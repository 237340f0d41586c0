//! Bodies in all framings of HTTP are transferred unchanged.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use bytes::Bytes;
use fleet::{Call, Caller, Fleet, Service, Settings};
use standin::backend;

/// Size of a large certificate in bytes.
const CERTIFICATE_BYTES: usize = 32 << 20;

fn fleet() -> Fleet {
    let service = Service {
        allow_unkeyed: true,
        deadline_ms: 20_000,
        extra_keys: "body_limit = 40MiB\nanswer_limit = 40MiB".into(),
        backend: backend::Settings { body_limit_bytes: 40 << 20, ..backend::Settings::default() },
        ..Service::default()
    };
    Fleet::start(Settings { services: vec![service], ..Settings::default() }).expect("fleet starts")
}

fn check(method: &str, path: &str, headers: &[&str], body: &Bytes) {
    let fleet = fleet();
    let call = Call {
        method: method.into(),
        path: path.into(),
        headers: headers.iter().map(|&it| it.to_owned()).collect(),
        body: body.clone(),
    };
    let res = Caller::default().call(fleet.address(0), &call);
    assert_eq!(res.status, 200, "{res:?}");
    assert_eq!(res.outcome, "done");
    assert!(res.body == body, "{} bytes came back changed", res.body.len());
}

#[test]
fn certificate_upload() {
    let mut random = fastrand::Rng::with_seed(1);
    let body: Vec<u8> = (0..CERTIFICATE_BYTES).map(|_| random.u8(..)).collect();
    check("POST", "/stock/certificates", &[], &body.into());
}

#[test]
fn binary_body() {
    check("POST", "/stock/1", &[], &Bytes::from((0..=255).collect::<Vec<u8>>()));
}

#[test]
fn expected_continue() {
    check("POST", "/stock/1", &["expect: 100-continue"], &Bytes::from_static(b"later"));
}

/// Sends requests over one connection and returns everything received until it ends.
fn exchange(requests: &str) -> String {
    let fleet = fleet();
    let mut stream = TcpStream::connect(fleet.address(0)).expect("connects");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("sets a timeout");
    stream.write_all(requests.as_bytes()).expect("sends");
    let mut res = String::new();
    stream.read_to_string(&mut res).expect("reads to the end");
    res
}

#[test]
fn keep_alive() {
    let res = exchange(
        "GET /stock/1 HTTP/1.1\r\nhost: a\r\n\r\nGET /stock/2 HTTP/1.1\r\nhost: a\r\n\
         connection: close\r\n\r\n",
    );
    assert_eq!(res.matches("HTTP/1.1 200").count(), 2, "{res}");
    assert!(res.contains("/stock/1") && res.ends_with("/stock/2"), "{res}");
}

#[test]
fn chunked_body() {
    let res = exchange(
        "POST /stock/1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\
         \r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
    );
    assert!(res.starts_with("HTTP/1.1 200") && res.ends_with("abcdefg"), "{res}");
}

#[test]
fn head_request() {
    let res = exchange("HEAD /stock/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    assert!(res.starts_with("HTTP/1.1 200"), "{res}");
    assert!(res.contains("content-length: 8"), "{res}");
    assert!(res.ends_with("\r\n\r\n"), "a body followed: {res}");
}
