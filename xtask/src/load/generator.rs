//! Generates calls in a closed loop and in an open loop.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use tokio::{runtime::Runtime, sync::Mutex, task::JoinSet};

use super::{Error, Result, connection::Connection};

/// Highest latency that the histograms distinguish, in nanoseconds.
const MAX_LATENCY_NS: u64 = 10_000_000_000;
/// Precision of latencies.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Number of threads that generate calls.
const THREADS: usize = 3;
/// Seed of the arrival times.
const SEED: u64 = 1;

/// The destination of calls.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Addresses over which the connections are distributed.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Paths, one for each rank. Each connection uses them in turn.
    pub(crate) paths: Vec<String>,
}

/// The results of a run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Latencies in nanoseconds, by path.
    pub(crate) by_path: Vec<Histogram<u64>>,
    /// Actual duration of the run.
    pub(crate) duration: Duration,
}

impl Run {
    /// Calls per second.
    pub(crate) fn calls_per_s(&self) -> f64 {
        self.all().len() as f64 / self.duration.as_secs_f64()
    }

    /// Latencies of all paths.
    pub(crate) fn all(&self) -> Histogram<u64> {
        let mut res = self.by_path[0].clone();
        for it in &self.by_path[1..] {
            res += it;
        }
        res
    }
}

/// Generates calls on its own threads.
pub(crate) struct Generator {
    runtime: Runtime,
    connections: usize,
}

type Queue = Arc<Mutex<tokio::sync::mpsc::UnboundedReceiver<Instant>>>;

impl Generator {
    /// Creates a generator with a fixed number of connections.
    pub(crate) fn new(connections: usize) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .thread_name("generator")
            .enable_all()
            .build()?;
        Ok(Self { runtime, connections })
    }

    /// Runs a closed loop: each connection sends its next call as soon as the previous one is
    /// answered.
    pub(crate) fn closed(&self, target: &Target, duration: Duration) -> Result<Run> {
        let stop = Arc::new(AtomicBool::new(false));
        let started = Instant::now();
        let run = self.runtime.block_on(async {
            let mut tasks = JoinSet::new();
            for number in 0..self.connections {
                tasks.spawn(call_until(target.clone(), number, Arc::clone(&stop)));
            }
            tokio::time::sleep(duration).await;
            stop.store(true, Ordering::Relaxed);
            merge_histograms(tasks).await
        })?;
        Ok(Run { by_path: run, duration: started.elapsed() })
    }

    /// Runs an open loop: calls arrive at random times with a mean of `rate` per second, regardless
    /// of answers. Latency is measured from the time of arrival.
    pub(crate) fn open(&self, target: &Target, rate: f64, duration: Duration) -> Result<Run> {
        let (send, receive) = tokio::sync::mpsc::unbounded_channel();
        let queue: Queue = Arc::new(Mutex::new(receive));
        let pacer = std::thread::spawn(move || pace(&send, rate, duration));
        let started = Instant::now();
        let run = self.runtime.block_on(async {
            let mut tasks = JoinSet::new();
            for number in 0..self.connections {
                tasks.spawn(call_on_arrival(target.clone(), number, Arc::clone(&queue)));
            }
            merge_histograms(tasks).await
        })?;
        pacer.join().map_err(|_panic| Error::Call("the pacer panicked".into()))?;
        Ok(Run { by_path: run, duration: started.elapsed() })
    }
}

/// Sends each arrival time when it is reached. Spins in between because timers are too coarse.
fn pace(send: &tokio::sync::mpsc::UnboundedSender<Instant>, rate: f64, duration: Duration) {
    let mut random = fastrand::Rng::with_seed(SEED);
    let started = Instant::now();
    let mut next = Duration::ZERO;
    while next < duration {
        while started.elapsed() < next {
            std::hint::spin_loop();
        }
        if send.send(started + next).is_err() {
            return;
        }
        let interval = -(1.0 - random.f64()).ln() / rate;
        next += Duration::from_secs_f64(interval);
    }
}

async fn call_until(
    target: Target,
    number: usize,
    stop: Arc<AtomicBool>,
) -> Result<Vec<Histogram<u64>>> {
    let mut connection =
        Connection::open(target.addresses[number % target.addresses.len()]).await?;
    let mut res = histograms(&target);
    let mut call = number;
    while !stop.load(Ordering::Relaxed) {
        let path = call % target.paths.len();
        call += 1;
        let started = Instant::now();
        connection.get(&target.paths[path]).await?;
        record(&mut res[path], started);
    }
    Ok(res)
}

async fn call_on_arrival(
    target: Target,
    number: usize,
    queue: Queue,
) -> Result<Vec<Histogram<u64>>> {
    let mut connection =
        Connection::open(target.addresses[number % target.addresses.len()]).await?;
    let mut res = histograms(&target);
    let mut call = number;
    loop {
        let arrived = queue.lock().await.recv().await;
        let Some(arrived) = arrived else { return Ok(res) };
        let path = call % target.paths.len();
        call += 1;
        connection.get(&target.paths[path]).await?;
        record(&mut res[path], arrived);
    }
}

async fn merge_histograms(
    mut tasks: JoinSet<Result<Vec<Histogram<u64>>>>,
) -> Result<Vec<Histogram<u64>>> {
    let mut res: Vec<Histogram<u64>> = Vec::new();
    while let Some(it) = tasks.join_next().await {
        let histograms = it.map_err(|e| Error::Call(e.to_string()))??;
        if res.is_empty() {
            res = histograms;
            continue;
        }
        for (all, one) in res.iter_mut().zip(&histograms) {
            *all += one;
        }
    }
    Ok(res)
}

fn histograms(target: &Target) -> Vec<Histogram<u64>> {
    let new =
        || Histogram::new_with_bounds(1, MAX_LATENCY_NS, SIGNIFICANT_DIGITS).expect("valid bounds");
    target.paths.iter().map(|_| new()).collect()
}

fn record(histogram: &mut Histogram<u64>, since: Instant) {
    let nanos = u64::try_from(since.elapsed().as_nanos()).unwrap_or(MAX_LATENCY_NS);
    histogram.saturating_record(nanos.max(1));
}
