//! Reading a stream: pages, binary records, retention.

use std::time::Duration;

use bytes::Bytes;
use platform::{Error, Http, Log, Offset, Settings};
use quickcheck::{Arbitrary, Gen};
use standin::log;

const STREAM: &str = "config";

fn start(retention: log::Retention) -> (log::Log, Http) {
    let settings = log::Settings { retention, page_limit: 3, ..log::Settings::default() };
    let server = log::Log::start(settings).unwrap();
    let http = Http::new(server.address(), Settings::default());
    (server, http)
}

fn read_all(http: &Http, mut from: Offset) -> Vec<Bytes> {
    let mut all = Vec::new();
    loop {
        let page = http.read(STREAM, from, 2).unwrap();
        if page.records.is_empty() {
            return all;
        }
        from = page.next;
        all.extend(page.records.into_iter().map(|it| it.data));
    }
}

/// Binary records are read unchanged and in order.
#[test]
fn any_bytes() {
    let mut g = Gen::from_size_and_seed(40, 5);
    let records: Vec<Bytes> = (0..20).map(|_| Bytes::from(Vec::<u8>::arbitrary(&mut g))).collect();
    let (_server, http) = start(log::Retention::default());
    for (it, expected) in records.iter().zip(0..) {
        assert_eq!(http.append(STREAM, it), Ok(expected));
    }
    assert_eq!(read_all(&http, 0), records);
}

#[test]
fn empty_stream() {
    let (_server, http) = start(log::Retention::default());
    let page = http.read(STREAM, 0, 10).unwrap();
    assert_eq!((page.first, page.next, page.records.len()), (0, 0, 0));
}

/// A read beyond the end returns the end of the stream.
#[test]
fn beyond_end() {
    let (server, http) = start(log::Retention::default());
    assert_eq!(server.inject(STREAM, Bytes::from_static(b"a")), 0);
    let page = http.read(STREAM, 9, 10).unwrap();
    assert_eq!((page.next, page.records.len()), (1, 0));
}

#[test]
fn gone_by_count() {
    let (server, http) = start(log::Retention { count: 2, ..Default::default() });
    for it in ["a", "b", "c"] {
        http.append(STREAM, &Bytes::from(it)).unwrap();
    }
    assert_eq!(http.read(STREAM, 0, 10), Err(Error::Gone { first: 1 }));
    assert_eq!(read_all(&http, 1), ["b", "c"]);
    server.trim(STREAM, 2);
    assert_eq!(http.read(STREAM, 1, 10), Err(Error::Gone { first: 2 }));
}

#[test]
fn gone_by_age() {
    let (_server, http) = start(log::Retention { age: Duration::ZERO, ..Default::default() });
    http.append(STREAM, &Bytes::from_static(b"a")).unwrap();
    assert_eq!(http.read(STREAM, 0, 10), Err(Error::Gone { first: 1 }));
}

#[test]
fn outage() {
    let (server, http) = start(log::Retention::default());
    http.append(STREAM, &Bytes::from_static(b"a")).unwrap();
    server.update(|it| it.down = true);
    assert!(matches!(http.read(STREAM, 0, 1), Err(Error::Unavailable(_))));
    server.update(|it| it.down = false);
    assert_eq!(read_all(&http, 0), ["a"]);
}
