//! Registry changes relayed in parts, of which any may be lost.

use std::{collections::BTreeSet, time::Duration};

use gateway::{
    peer::Relay,
    registry::{Change, Registration, State, UpstreamId},
};
use quickcheck::quickcheck;

fn put(number: usize) -> Change {
    Change::Put(Registration {
        id: format!("i-{number}").into(),
        born_ms: 1,
        seq: 1,
        service: "stock".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".into(),
        slots: 6,
        state: State::Ready,
        cold_for: Duration::ZERO,
    })
}

fn id(change: &Change) -> UpstreamId {
    match change {
        Change::Put(it) => it.id.clone(),
        Change::Removed(it) => it.id.clone(),
    }
}

/// Parts have at most the given number of changes and cover all offsets without gaps.
#[test]
fn contiguous_parts() {
    let check = |records: u64, changes: usize, parts: usize| {
        let changes: Vec<_> = (0..changes).map(|it| (100 + it as u64, put(it))).collect();
        let (from, to) = (100, 100 + records);
        let relay = Relay { era: 0, from, to, is_trusted: true, changes: changes.clone() };
        let res = relay.split(10);
        assert_eq!(res.len(), parts);
        assert_eq!((res[0].from, res[parts - 1].to), (100, 100 + records));
        assert!(res.windows(2).all(|it| it[0].to == it[1].from && it[0].to > it[0].from));
        let relayed: Vec<_> = res.into_iter().flat_map(|it| it.changes).collect();
        assert_eq!(relayed, changes);
    };
    check(50, 0, 1);
    check(50, 10, 1);
    check(50, 11, 2);
    check(50, 50, 5);
}

quickcheck! {
    /// Each record is a heartbeat or a change. Parts are lost at random; on a gap, the receiver
    /// reads the records from its own end. It may have read more than the sender before.
    fn lost_parts(records: Vec<bool>, lost: Vec<bool>, ahead: usize) -> bool {
        let changed = |from: usize| {
            let changes = records.iter().enumerate().skip(from).filter(|(_, it)| **it);
            changes.map(|(it, _)| (it as u64, put(it)))
        };
        let to = records.len() as u64;
        let relay = Relay { era: 0, from: 0, to, is_trusted: true, changes: changed(0).collect() };
        // The changes before the receiver's own end were superseded there: it must not apply them.
        let own = ahead.checked_rem(records.len() + 1).unwrap_or_default();
        let (mut end, mut known) = (own as u64, BTreeSet::new());
        let read = |end: &mut u64, known: &mut BTreeSet<UpstreamId>| {
            known.extend(changed(usize::try_from(*end).unwrap()).map(|(_, it)| id(&it)));
            *end = records.len() as u64;
        };
        for (number, part) in relay.split(3).into_iter().enumerate() {
            if lost.get(number) == Some(&true) {
                continue;
            }
            if part.from > end {
                read(&mut end, &mut known);
            } else {
                let changes = part.changes.iter().filter(|(offset, _)| *offset >= end);
                known.extend(changes.map(|(_, it)| id(it)));
                end = end.max(part.to);
            }
        }
        // The next relay begins at the end of the records.
        if end < records.len() as u64 {
            read(&mut end, &mut known);
        }
        known == changed(own).map(|(_, it)| id(&it)).collect()
    }
}
