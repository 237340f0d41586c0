//! Log lines on standard output.
//!
//! Lines pass through a bounded queue to a thread of their own. If the reader of standard output is
//! slow, lines are dropped and counted; requests are never blocked.

use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

/// Maximum number of queued lines.
const QUEUE_LIMIT: usize = 4_096;

/// Interval at which [`flush`] checks whether the queue is empty.
const FLUSH_INTERVAL: Duration = Duration::from_millis(1);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static QUEUED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Starts writing log lines of `level` and above to `out`.
///
/// # Errors
///
/// Fails if the thread can't be started or a logger is already installed.
pub fn start(
    level: log::LevelFilter,
    out: impl Write + Send + 'static,
) -> Result<(), Box<dyn std::error::Error>> {
    let (sender, receiver) = sync_channel(QUEUE_LIMIT);
    thread::Builder::new().name("firefly-log".to_owned()).spawn(move || write(&receiver, out))?;
    formatter(level).chain(output(sender)).apply()?;
    Ok(())
}

/// Number of lines dropped because the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits until all queued lines are written, at most for `timeout`. Lines still queued when the
/// process ends are lost.
pub fn flush(timeout: Duration) {
    let until = Instant::now() + timeout;
    while WRITTEN.load(Ordering::Acquire) < QUEUED.load(Ordering::Acquire) && Instant::now() < until
    {
        thread::sleep(FLUSH_INTERVAL);
    }
}

fn formatter(level: log::LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new().level(level).format(|out, message, record| {
        let now = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let (level, target) = (record.level(), record.target());
        out.finish(format_args!(
            "time={:.3} level={level} target={target} {message}",
            now.as_secs_f64()
        ));
    })
}

fn output(sender: SyncSender<String>) -> fern::Output {
    fern::Output::call(move |record| {
        if sender.try_send(format!("{}\n", record.args())).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        } else {
            QUEUED.fetch_add(1, Ordering::Release);
        }
    })
}

fn write(receiver: &Receiver<String>, mut out: impl Write) {
    while let Ok(line) = receiver.recv() {
        // If standard output is closed, the error can't be reported anywhere.
        let _lost = out.write_all(line.as_bytes());
        WRITTEN.fetch_add(1, Ordering::Release);
    }
}
