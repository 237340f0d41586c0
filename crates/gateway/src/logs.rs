//! Log lines on standard output.
//!
//! Lines go through a bounded queue to a thread of its own: a reader that falls behind costs lines,
//! which are counted, and never holds up a request.

use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::SystemTime,
};

/// Lines that wait to be written at most.
const QUEUE_LIMIT: usize = 4_096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Writes log lines of `level` and above to `out` from now on.
///
/// # Errors
///
/// Fails if the thread can't be started or a logger is installed already.
pub fn start(
    level: log::LevelFilter,
    out: impl Write + Send + 'static,
) -> Result<(), Box<dyn std::error::Error>> {
    let (sender, receiver) = sync_channel(QUEUE_LIMIT);
    thread::Builder::new().name("firefly-log".to_owned()).spawn(move || write(&receiver, out))?;
    dispatch(level).chain(output(sender)).apply()?;
    Ok(())
}

/// Lines dropped because the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn dispatch(level: log::LevelFilter) -> fern::Dispatch {
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
        }
    })
}

fn write(receiver: &Receiver<String>, mut out: impl Write) {
    while let Ok(line) = receiver.recv() {
        // Nobody is left to tell when standard output is gone.
        let _lost = out.write_all(line.as_bytes());
    }
}
