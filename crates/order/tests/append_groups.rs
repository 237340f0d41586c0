//! Orders are batched into few appends.

mod bench;

use std::time::Duration;

use bench::{Bench, OWN, numbered};
use order::{Action, Body, Event, Record, Settings, Stream};

/// Duration of each run.
const RUN: Duration = Duration::from_secs(3);

/// Submits `rate` orders a second. Checks that all but the last tenth of a second's orders start,
/// and that there are at most `limit` appends a second.
fn check(rate: u32, limit: f64) {
    let settings = Settings { window: u64::MAX, ..Settings::default() };
    let mut bench = Bench::new(settings);
    let session = bench.session(true);
    let step = Duration::from_secs(1) / rate;
    let (mut number, mut started, mut read, mut elapsed) = (0, 0, 0, Duration::ZERO);
    while elapsed < RUN {
        number += 1;
        bench.submit(numbered(session, number.into()), 1);
        bench.complete_appends();
        bench.read(Stream::Orders(OWN), read);
        read = bench.streams.get(&Stream::Orders(OWN)).map_or(0, Vec::len);
        bench.advance(step);
        elapsed += step;
        for it in std::mem::take(&mut bench.actions) {
            let Action::Start(_, key) = it else { continue };
            bench.run(key, "bale");
            started += 1;
        }
    }
    let appends = f64::from(u32::try_from(read).expect("few appends")) / RUN.as_secs_f64();
    assert!(appends <= limit, "{rate} orders/s: {appends} appends/s");
    assert!(started + rate / 10 >= number, "{rate}: {started}");
}

/// The number of appends is bounded at any rate of orders.
#[test]
fn append_rate_bounded() {
    check(5, 10.4);
    check(167, 20.4);
    check(1_000, 20.4);
}

/// A single order is appended immediately; those that follow wait for the append interval.
#[test]
fn single_order_immediate() {
    let mut bench = Bench::new(Settings::default());
    let session = bench.session(true);
    bench.submit(numbered(session, 1), 1);
    assert_eq!(bench.appends.len(), 1);
    bench.submit(numbered(session, 2), 1);
    bench.submit(numbered(session, 3), 1);
    assert_eq!(bench.appends.len(), 1, "the next append waits for the interval");
    bench.advance(Settings::default().append_interval);
    let Some(Action::Append { record, .. }) = bench.appends.get(1) else { panic!("no append") };
    let Ok(Body::Orders { started, .. }) = Record::decode(record) else { panic!("no orders") };
    assert_eq!(started.iter().map(|it| it.number).collect::<Vec<_>>(), [2, 3]);
}

#[test]
fn record_size_bounded() {
    let settings = Settings {
        batch_limit: 10,
        append_interval: Duration::ZERO,
        append_limit: 1,
        ..Settings::default()
    };
    let mut bench = Bench::new(settings);
    let session = bench.session(true);
    for number in 1..=25 {
        bench.submit(numbered(session, number), 1);
    }
    let mut sizes = Vec::new();
    while let Some(Action::Append { batch, record, .. }) = bench.appends.pop() {
        let Ok(Body::Orders { started, .. }) = Record::decode(&record) else { panic!("no orders") };
        sizes.push(started.len());
        bench.feed(Event::Appended(batch));
    }
    assert_eq!(sizes, [1, 10, 10, 4]);
}
