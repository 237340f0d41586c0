//! The format of the daemon's log.

use std::time::SystemTime;

/// Builds a log with one line per record: Unix time in seconds, level, target, message.
pub fn dispatch(level: log::LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new().level(level).format(|out, message, record| {
        let now = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let (level, target) = (record.level(), record.target());
        out.finish(format_args!("{:.3} {level} {target} {message}", now.as_secs_f64()));
    })
}
