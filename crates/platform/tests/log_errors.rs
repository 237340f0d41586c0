//! Results of appends and reads agree with what the log did, under all of its faults.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use bytes::Bytes;
use platform::{Error, Http, Log, Settings};
use standin::log;

const STREAM: &str = "config";
/// A reserved port on which nothing listens.
const UNUSED_PORT: u16 = 1;

fn client(address: SocketAddr) -> Http {
    let settings = Settings { call_timeout: Duration::from_millis(300), ..Settings::default() };
    Http::new(address, settings)
}

#[derive(Debug, Eq, PartialEq)]
enum Verdict {
    Done,
    Refused,
    Unknown,
}

/// Makes one append under `faults`; `stored` is the number of records in the log afterwards.
fn check(faults: log::Faults, verdict: Verdict, stored: usize) {
    let server = log::Log::start(log::Settings::default()).unwrap();
    server.update(|it| *it = faults);
    let res = client(server.address()).append(STREAM, &Bytes::from_static(b"record"));
    let seen = match res {
        Ok(_) => Verdict::Done,
        Err(Error::Refused(_)) => Verdict::Refused,
        Err(_) => Verdict::Unknown,
    };
    assert_eq!((seen, server.records(STREAM).len()), (verdict, stored));
}

#[test]
fn append_verdicts() {
    check(log::Faults::default(), Verdict::Done, 1);
    check(log::Faults { down: true, ..Default::default() }, Verdict::Unknown, 0);
    check(log::Faults { silent: true, ..Default::default() }, Verdict::Unknown, 0);
    check(log::Faults { lost_answers: 1, ..Default::default() }, Verdict::Unknown, 1);
    check(log::Faults { duplicates: 1, ..Default::default() }, Verdict::Done, 2);
}

#[test]
fn closed_port() {
    let http = client(SocketAddr::from(([127, 0, 0, 1], UNUSED_PORT)));
    assert!(matches!(http.append(STREAM, &Bytes::new()), Err(Error::Refused(_))));
    assert!(matches!(http.read(STREAM, 0, 1), Err(Error::Unavailable(_))));
}

#[test]
fn bad_input() {
    let server = log::Log::start(log::Settings::default()).unwrap();
    let settings = Settings { record_limit_bytes: 4, ..Settings::default() };
    let http = Http::new(server.address(), settings);
    for (stream, record) in [("a/b", "x"), ("", "x"), ("a?b=c", "x"), (STREAM, "12345")] {
        let res = http.append(stream, &Bytes::from(record));
        assert!(matches!(res, Err(Error::Refused(_))), "{stream:?} {record:?}: {res:?}");
    }
    assert_eq!(server.appends(), 0);
}

/// Starts a server that reads one request per connection, sends `answer` and closes it. Its thread
/// returns the number of connections.
fn raw_server(
    answer: &'static [u8],
    connections: usize,
) -> (SocketAddr, thread::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let handle = thread::spawn(move || {
        for _ in 0..connections {
            let (mut stream, _) = listener.accept().unwrap();
            let mut seen = Vec::new();
            while !seen.ends_with(b"record") {
                let mut chunk = [0; 1024];
                let size = stream.read(&mut chunk).unwrap();
                seen.extend_from_slice(&chunk[..size]);
            }
            stream.write_all(answer).unwrap();
        }
        listener.set_nonblocking(true).unwrap();
        thread::sleep(Duration::from_millis(50));
        connections + usize::from(listener.accept().is_ok())
    });
    (address, handle)
}

/// An append whose connection is closed after the request was read is not retried.
#[test]
fn closed_after_send() {
    for answer in
        [&b""[..], b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"offset\"", b"garbage\r\n\r\n"]
    {
        let (address, handle) = raw_server(answer, 1);
        let res = client(address).append(STREAM, &Bytes::from_static(b"record"));
        assert!(matches!(res, Err(Error::Unknown(_))), "{res:?}");
        assert_eq!(handle.join().unwrap(), 1);
    }
}

/// Guards against appends over reused connections: they would fail with a server that closes each
/// connection after its answer without announcing it.
#[test]
fn closed_between_appends() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"offset\":7}";
    let (address, handle) = raw_server(answer, 3);
    let http = client(address);
    for _ in 0..3 {
        assert_eq!(http.append(STREAM, &Bytes::from_static(b"record")), Ok(7));
    }
    assert_eq!(handle.join().unwrap(), 3);
}

#[test]
fn redirect_not_followed() {
    let answer = b"HTTP/1.1 307 Go\r\nlocation: /streams/other\r\ncontent-length: 0\r\n\r\n";
    let (address, handle) = raw_server(answer, 1);
    let res = client(address).append(STREAM, &Bytes::from_static(b"record"));
    assert!(matches!(res, Err(Error::Unknown(_))), "{res:?}");
    assert_eq!(handle.join().unwrap(), 1);
}
