//! Time that the balancer takes for one request.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use balance::{Balancer, Completion, Outcome, Report, Settings, Upstream};

/// Requests that are measured together.
const REQUESTS: u32 = 200_000;
/// Times that the measurement is repeated; the fastest counts, which others disturbed least.
const REPEATS: u32 = 5;
/// Own requests in flight.
const IN_FLIGHT: usize = 12;

/// Prints the time of one choice with its end, and of one look at the capacity, for several sizes.
pub(crate) fn print() {
    println!("upstreams  choose and finish ns  capacity ns");
    let mut fields = Vec::new();
    for upstreams in [6, 15, 30, 3600] {
        let (request, capacity) = (fastest(upstreams, request), fastest(upstreams, capacity));
        println!("{upstreams:9}  {request:20}  {capacity:11}");
        fields.push(format!("choose_{upstreams}_ns={request}"));
    }
    println!("RESULT {}", fields.join(" "));
}

/// Least nanoseconds for one call of `work`.
fn fastest(upstreams: usize, work: impl Fn(&mut Balancer, Instant)) -> u128 {
    let measure = |_| {
        let start = Instant::now();
        let mut balancer = loaded(upstreams, start);
        let begin = Instant::now();
        for step in 0..REQUESTS {
            work(&mut balancer, start + Duration::from_micros(100) * step);
        }
        begin.elapsed().as_nanos() / u128::from(REQUESTS)
    };
    (0..REPEATS).map(measure).min().unwrap_or_default()
}

fn loaded(upstreams: usize, now: Instant) -> Balancer {
    let upstream = |it| Upstream { id: format!("u{it}").into(), domain: "d".into(), slots: 6 };
    let list = (0..upstreams).map(upstream).collect();
    let mut res = Balancer::new(Settings::default(), "d".into(), list, 1, now);
    for _ in 0..IN_FLIGHT {
        let _stays_in_flight = res.choose(now, &[]);
    }
    res
}

fn request(balancer: &mut Balancer, now: Instant) {
    if let Ok(choice) = balancer.choose(now, &[]) {
        let report = Some(Report { occupied: 4, queued: 0 });
        let latency = Duration::from_millis(10);
        let answer = Completion { outcome: Outcome::Success, latency, report };
        balancer.finished(now + latency, choice.dispatch, answer);
    }
}

fn capacity(balancer: &mut Balancer, now: Instant) {
    black_box(balancer.capacity(now));
}
