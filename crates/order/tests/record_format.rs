//! Records in the log: what is read back, and what is skipped.

use order::{
    Answer, Body, Claim, Fingerprint, Finished, Header, Outcome, Reason, Record, Started,
    Unreadable,
};
use quickcheck::{Arbitrary, Gen};

/// Random inputs tried.
const CASES: u32 = 2_000;

fn bodies() -> [Body; 3] {
    let order = Started { nonce: u64::MAX, number: 7, fingerprint: Fingerprint(u128::MAX) };
    let header = Header { name: "location".into(), value: "/orders/7".into() };
    let answer = Answer { status: 201, headers: vec![header], body: vec![0, 255, 34].into() };
    let finished = [Outcome::Done(answer), Outcome::Unkept, Outcome::NotRun(Reason::Journal)]
        .map(|outcome| Finished { order, outcome });
    let claim = Claim { key: Fingerprint(3), fingerprint: Fingerprint(4) };
    [
        Body::Orders { started: vec![order], finished: finished.into() },
        Body::Revoked { by: 9 },
        Body::Claims { owner: u64::MAX, claims: vec![claim] },
    ]
}

#[test]
fn records_survive_the_round_trip() {
    for it in bodies() {
        assert_eq!(Record::decode(&Record::new(it.clone()).encode()), Ok(it));
    }
}

#[test]
fn torn_records_are_told_from_later_formats() {
    for it in bodies() {
        let bytes = Record::new(it).encode();
        for length in 0..bytes.len() {
            let torn = Record::decode(&bytes[..length]);
            assert!(matches!(torn, Err(Unreadable::Malformed(_))), "{length}: {torn:?}");
        }
    }
    for later in ["{\"format\":2}", "{\"format\":1}", "{\"format\":1,\"kind\":\"paused\"}"] {
        assert_eq!(Record::decode(later.as_bytes()), Err(Unreadable::UnknownFormat), "{later}");
    }
}

#[test]
fn no_bytes_are_taken_for_a_record() {
    let mut random = Gen::from_size_and_seed(200, 4);
    for _ in 0..CASES {
        let bytes = Vec::<u8>::arbitrary(&mut random);
        assert!(Record::decode(&bytes).is_err(), "{bytes:?}");
    }
}

#[test]
fn journal_entry_is_small() {
    let [orders, ..] = bodies();
    let Body::Orders { started, .. } = orders else { panic!("no orders") };
    let many = Body::Orders { started: started.repeat(100), finished: vec![] };
    assert!(Record::new(many).encode().len() <= 64 * 100);
}
