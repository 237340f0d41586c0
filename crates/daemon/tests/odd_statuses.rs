//! Answers whose status no answer may have: none may be passed on, count as a success, or be waited
//! behind for another one.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use clock::{Clock, System};
use daemon::{
    caller::body::Budget,
    upstream::{
        attempt::{Attempt, Error, Message},
        pool::{Pool, Reuse},
    },
};
use hyper::{HeaderMap, Method, Uri};
use platform::{Hosts, Http, Log};
use platform_standin::raw;

/// Statuses outside 100 to 599, and the one of an upgrade that nobody has asked for.
const ODD: [&str; 8] = ["000", "001", "042", "099", "101", "600", "742", "999"];
/// Interim statuses, behind which the connection ends without an answer.
const INTERIM: [&str; 3] = ["100", "103", "199"];
/// Time of a call; a wait for another answer would reach it.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that answers with `status`, and with a body that each user understands. It keeps the
/// connection, except behind an interim answer.
fn start(status: &'static str) -> SocketAddr {
    raw::start(move |head, stream| {
        let length = head.text("content-length").map_or(0, |it| it.parse().unwrap());
        io::copy(&mut Read::by_ref(stream).take(length), &mut io::sink())?;
        write!(stream, "HTTP/1.1 {status}\r\nfireflydrum-load: in_flight=0\r\n")?;
        if status.starts_with('1') {
            write!(stream, "\r\n")?;
        } else {
            let body = r#"{"hosts":[],"records":[],"first":0,"next":0,"offset":0}"#;
            let length = body.len();
            write!(stream, "Connection: close\r\nContent-Length: {length}\r\n\r\n{body}")?;
        }
        if !INTERIM.contains(&status) {
            io::copy(stream, &mut io::sink())?;
        }
        Ok(())
    })
}

fn odd() -> impl Iterator<Item = &'static str> {
    ODD.into_iter().chain(INTERIM)
}

/// Callers and orders got the odd status, and a probe counted as a success; all use this type.
#[tokio::test]
async fn attempts() {
    let mut wrong = Vec::new();
    for (status, method) in odd().flat_map(|it| [(it, Method::GET), (it, Method::POST)]) {
        let attempt = Attempt {
            clock: &System,
            pool: &Pool::new(start(status), 1),
            id: "1".to_owned(),
            reuse: Reuse::Idle,
            answer_limit: 1 << 10,
            budget: &Budget::new(1 << 20),
            deadline: System.now() + TIMEOUT,
            guard: None,
        };
        let (target, headers) = (Uri::from_static("/"), HeaderMap::new());
        let message = Message { method, target, headers, body: Bytes::new() };
        match attempt.run(&message).await {
            Err(Error::Broken(_)) => {}
            res => wrong.push((status, res.map(|it| it.status))),
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// A call to the log or for the list of hosts could wait for another answer, or take an odd one for a
/// success.
#[test]
fn log_calls() {
    for status in odd() {
        let settings = platform::Settings { call_timeout: TIMEOUT, ..Default::default() };
        let client = Http::new(start(status), settings);
        let errors = [
            client.append("a", &Bytes::from_static(b"x")).map(drop).unwrap_err(),
            client.read("a", 0, 1).map(drop).unwrap_err(),
            client.list().map(drop).unwrap_err(),
        ];
        assert!(
            errors.iter().all(|it| !it.to_string().contains("timeout")),
            "{status}: {errors:?}"
        );
        assert!(!matches!(errors[0], platform::Error::Refused(_)), "{status}: {errors:?}");
    }
}

/// As above, for a call to a peer.
#[tokio::test]
async fn peer_calls() {
    for status in odd() {
        let settings = peer::Settings { configuration_timeout: TIMEOUT, ..Default::default() };
        let client = peer::Client::new("token".into(), settings);
        let err = client.configuration(start(status), 0).await.unwrap_err();
        assert!(!err.to_string().contains("timeout"), "{status}: {err}");
    }
}
