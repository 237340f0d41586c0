//! Decoders of bytes from other programs return an error or a value for any input. `cargo test`
//! tries [`CASES`] inputs for each of them.

use std::{net::SocketAddr, time::Duration};

use bytes::BytesMut;
use gateway::{
    Settings,
    http::{Body, Framing, Head, Reader},
    peer::{Capacity, Departure, Heartbeat, Load, Packet, Phase, Relay},
    registry::{Change, Evacuations, Registration, Removal, State},
    rpc::Snapshot,
    upstream::Notice,
    wire::Names,
};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Inputs tried for each decoder.
const CASES: u64 = 5_000;
/// Size of the generated inputs.
const SIZE: usize = 300;
const LIMIT: usize = 1_024;

fn check(property: fn(Vec<u8>, Vec<u16>) -> TestResult) {
    QuickCheck::new().tests(CASES).rng(Gen::new(SIZE)).quickcheck(property);
}

/// A valid input with some bytes replaced, cut off or repeated, or the random bytes alone.
fn mutate(valid: &[u8], noise: &[u8], places: &[u16]) -> Vec<u8> {
    let mut res = valid.to_vec();
    for (byte, place) in noise.iter().zip(places.iter().take(8)) {
        let at = usize::from(*place) % res.len().max(1);
        match place % 7 {
            0 => res.truncate(at),
            1 => res.insert(at.min(res.len()), *byte),
            2 => res.extend_from_within(at.min(res.len())..),
            _ => {
                if let Some(it) = res.get_mut(at) {
                    *it = *byte;
                }
            }
        }
    }
    if places.is_empty() { noise.to_vec() } else { res }
}

fn registration() -> Registration {
    Registration {
        id: "i-1".into(),
        born_ms: 1_700_000_000_000,
        seq: 1,
        service: "stock".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: "a".into(),
        slots: 4,
        state: State::Ready,
        cold_for: Duration::from_secs(1),
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        key: 7,
        host: "host".to_owned(),
        domain: "a".into(),
        caller_address: SocketAddr::from(([10, 0, 0, 2], 80)),
        phase: Phase::Ready,
        capacity: Capacity::default(),
        is_active: true,
        config: 3,
        config_checked_ms: Some(20),
        evacuations: Evacuations::default(),
        registry_era: 1,
        registry_end: 40,
        registry_digest: 5,
        peers: vec![SocketAddr::from(([10, 0, 0, 3], 7_200))],
        wants_reply: true,
    }
}

#[test]
fn datagrams() {
    check(|noise, places| {
        let packets = [
            Packet::Heartbeat(heartbeat()),
            Packet::Loads(7, vec![Load { upstream: 1, in_flight: 2, report: None }; 3]),
            Packet::Relay(Relay {
                era: 1,
                from: 1,
                to: 4,
                is_trusted: true,
                changes: vec![(2, Change::Put(registration()))],
            }),
            Packet::Departures(vec![Departure { upstream: "i-1".into(), born_ms: 1 }]),
        ];
        for it in packets {
            let valid = postcard::to_allocvec(&it).unwrap();
            let _decoded: Result<Packet, _> =
                postcard::from_bytes(&mutate(&valid, &noise, &places));
        }
        TestResult::passed()
    });
}

#[test]
fn snapshots() {
    check(|noise, places| {
        let removal = Removal { id: "r".into(), revision: registration().revision() };
        let (registrations, removals) = (vec![registration()], vec![removal]);
        let valid = Snapshot { era: 1, end: 4, registrations, removals };
        let valid = postcard::to_allocvec(&valid).unwrap();
        let _decoded: Result<Snapshot, _> = postcard::from_bytes(&mutate(&valid, &noise, &places));
        TestResult::passed()
    });
}

#[test]
fn requests() {
    check(|noise, places| {
        let valid = b"POST /r/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
            3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n";
        let mut buffer = BytesMut::from(&*mutate(valid, &noise, &places));
        let mut reader = Reader::default();
        while let Ok(Some(it)) = reader.next(&mut buffer, LIMIT, LIMIT) {
            assert!(it.body.len() <= LIMIT);
        }
        TestResult::passed()
    });
}

#[test]
fn answers() {
    check(|noise, places| {
        let valid = b"HTTP/1.1 503 Busy\r\nRetry-After: 1.5\r\nKeep-Alive: timeout=5\r\n\
            fireflydrum-leaving: 1\r\nContent-Length: 3\r\n\r\nabc";
        let mut buffer = BytesMut::from(&*mutate(valid, &noise, &places));
        let Ok(Some(head)) = Head::parse_answer(&mut buffer, LIMIT) else {
            return TestResult::passed();
        };
        let notice = Notice::parse(&head, &Names::default(), "u");
        assert!(notice.pause.is_none_or(|it| it <= Duration::from_hours(1)));
        let framing = head.answer_framing(b"GET").unwrap_or(Framing::UntilClose);
        if let Ok(mut body) = Body::new(framing, LIMIT) {
            let _complete = body.feed(&mut buffer);
            assert!(body.len() <= LIMIT);
        }
        TestResult::passed()
    });
}

#[test]
fn settings() {
    check(|noise, places| {
        let valid = "[gateway]\nhost = h\ndomain = a\ncaller_address = 10.0.0.1:80\ngrace = 6s\n\
            seeds = 10.0.0.1:7200,10.0.0.2:7200\nmemory_mb = 512\nretry_ratio = 0.2\n";
        let text = mutate(valid.as_bytes(), &noise, &places);
        let _parsed = Settings::parse(&String::from_utf8_lossy(&text));
        TestResult::passed()
    });
}
