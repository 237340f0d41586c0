//! What journaling costs: added latency and appends, on real daemons on loopback.

use std::{
    fmt::Write,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use fleet::{Caller, Fleet, Service, Settings, await_condition};
use hdrhistogram::Histogram;
use standin::backend;

/// Entry hosts.
const HOSTS: usize = 6;
/// Callers; each has at most one order at a time.
const CALLERS: usize = 96;
/// Duration of each run.
const RUN: Duration = Duration::from_secs(10);
/// Time within which the fleet must be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Appends a second that the log takes from all of its users.
const APPEND_LIMIT: f64 = 300.0;

/// Why a measurement could not be made.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The fleet did not start.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// Latencies can't be recorded.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A latency is out of range.
    #[error(transparent)]
    Latency(#[from] hdrhistogram::RecordError),
}

/// A figure, or why there is none.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// How the orders of a run are keyed.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Unkeyed,
    Session(&'static str),
}

/// One run.
struct Run {
    name: &'static str,
    latency_us: Histogram<u64>,
    failed: u64,
    appends_per_s: f64,
    reads_per_s: f64,
}

/// Measures all kinds; returns whether the appends stayed within the log's limit.
pub(crate) fn run(rate: u32) -> Result<bool> {
    let backend = backend::Settings {
        slots: 60,
        service_time: Duration::from_millis(2),
        ..backend::Settings::default()
    };
    let service = Service {
        upstreams: 6,
        backend,
        allow_unkeyed: true,
        deadline_ms: 5_000,
        ..Service::default()
    };
    let settings = Settings { daemons: HOSTS, services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings)?;
    fleet.await_hosts(HOSTS)?;
    let is_ready = || (0..HOSTS).all(|it| session(&fleet, it, "journaled").contains("fd1j-"));
    await_condition(READY_LIMIT, "journaled sessions", is_ready)?;

    println!("{rate} orders/s, {HOSTS} hosts, {CALLERS} callers, {} s", RUN.as_secs());
    println!("orders        p50 us   p99 us  p999 us  failed  appends/s  reads/s");
    let kinds = [
        ("unkeyed", Kind::Unkeyed),
        ("unjournaled", Kind::Session("unjournaled")),
        ("journaled", Kind::Session("journaled")),
    ];
    let mut runs = Vec::new();
    for (name, kind) in kinds {
        let run = measure(&fleet, name, kind, rate)?;
        run.print();
        runs.push(run);
    }
    let bytes = journal_bytes(&fleet);
    let orders = runs.last().map_or(1, |it| it.latency_us.len().max(1));
    println!("journal: {} bytes for each order", bytes / orders);
    Ok(summarize(&runs))
}

/// Offers orders at a fixed rate, whatever the answers take; latency counts from when an order was
/// due.
fn measure(fleet: &Fleet, name: &'static str, kind: Kind, rate: u32) -> Result<Run> {
    let sessions: Vec<String> = match kind {
        Kind::Unkeyed => vec![String::new(); CALLERS],
        Kind::Session(it) => {
            (0..CALLERS).map(|caller| session(fleet, caller % HOSTS, it)).collect()
        }
    };
    let failed = AtomicU64::new(0);
    let interval = Duration::from_secs(1) / rate;
    let (appends, reads) = (fleet.log.appends(), fleet.log.reads());
    let started = Instant::now();
    let mut latency_us = Histogram::<u64>::new(3)?;
    thread::scope(|scope| {
        let callers: Vec<_> = sessions
            .iter()
            .enumerate()
            .map(|(caller, it)| {
                let failed = &failed;
                scope.spawn(move || place(fleet, caller, it, started, interval, failed))
            })
            .collect();
        for it in callers {
            for took in it.join().expect("a caller panicked") {
                latency_us.record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX))?;
            }
        }
        Ok::<_, Error>(())
    })?;
    let elapsed = started.elapsed().as_secs_f64();
    Ok(Run {
        name,
        latency_us,
        failed: failed.into_inner(),
        appends_per_s: per_s(fleet.log.appends() - appends, elapsed),
        reads_per_s: per_s(fleet.log.reads() - reads, elapsed),
    })
}

/// The orders of one caller, and how long each took.
fn place(
    fleet: &Fleet,
    caller: usize,
    session: &str,
    started: Instant,
    interval: Duration,
    failed: &AtomicU64,
) -> Vec<Duration> {
    let http = Caller::default();
    let mut res = Vec::new();
    for number in 1_u32.. {
        let place = (number - 1) * u32::try_from(CALLERS).unwrap_or(u32::MAX)
            + u32::try_from(caller).unwrap_or(u32::MAX);
        let due = started + interval * place;
        if due >= started + RUN {
            break;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let key = if session.is_empty() { String::new() } else { format!("{session}.{number}") };
        let answer = http.post(fleet.address(caller % HOSTS), "/stock/orders", &key, "bale".into());
        if answer.outcome != "done" {
            failed.fetch_add(1, Ordering::Relaxed);
        }
        res.push(due.elapsed());
    }
    res
}

fn session(fleet: &Fleet, host: usize, kind: &str) -> String {
    let path = format!("/fireflydrum/entry?session={kind}");
    let answer = Caller::default().get(fleet.address(host), &path);
    let json: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    json["session"]["id"].as_str().unwrap_or_default().to_owned()
}

/// Bytes in the journals of all hosts.
fn journal_bytes(fleet: &Fleet) -> u64 {
    let incarnation = |host| {
        let session = session(fleet, host, "journaled");
        session.split('-').nth(1).unwrap_or_default().to_owned()
    };
    let streams = (0..HOSTS).map(|it| format!("orders-{}", incarnation(it)));
    let records = streams.flat_map(|it| fleet.log.records(&it));
    records.map(|it| it.len() as u64).sum()
}

fn per_s(count: u64, elapsed_s: f64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / elapsed_s
}

impl Run {
    fn percentile(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }

    fn print(&self) {
        let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|it| self.percentile(it));
        println!(
            "{:<12} {p50:>8} {p99:>8} {p999:>8} {:>7} {:>10.1} {:>8.1}",
            self.name, self.failed, self.appends_per_s, self.reads_per_s
        );
    }
}

fn summarize(runs: &[Run]) -> bool {
    let failed: u64 = runs.iter().map(|it| it.failed).sum();
    let appends = runs.iter().map(|it| it.appends_per_s).fold(0.0, f64::max);
    let mut line = String::from("RESULT");
    for it in runs {
        let (p50, p99) = (it.percentile(0.5), it.percentile(0.99));
        // Writing to a string can't fail.
        let _ = write!(line, " {0}_p50_us={p50} {0}_p99_us={p99}", it.name);
    }
    println!("{line} appends_per_s={appends:.1} failed={failed}");
    appends <= APPEND_LIMIT && failed == 0
}
