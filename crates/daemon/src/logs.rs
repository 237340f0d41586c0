//! The format of the daemon's log.

use std::time::SystemTime;

/// A log with one line a record: time in seconds since 1970, level, target, message.
pub fn dispatch(level: log::LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new().level(level).format(|out, message, record| {
        let now = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let (level, target) = (record.level(), record.target());
        out.finish(format_args!("{:.3} {level} {target} {message}", now.as_secs_f64()));
    })
}
