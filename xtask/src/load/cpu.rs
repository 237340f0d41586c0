//! Processor time of the daemon's threads within this process.

use std::{fs, io, time::Duration};

use daemon::process::{CALLER_THREAD, CONTROL_THREAD};

/// Clock ticks a second in the kernel's process files.
const TICKS_PER_S: u64 = 100;
/// Places of user and system time behind the thread's name.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// Names of the daemon's threads.
const THREADS: [&str; 2] = [CALLER_THREAD, CONTROL_THREAD];

/// Processor time that the daemon's threads have used so far.
pub(crate) fn of_daemon_threads() -> io::Result<Duration> {
    let mut ticks = 0;
    for it in fs::read_dir("/proc/self/task")? {
        let Ok(stat) = fs::read_to_string(it?.path().join("stat")) else { continue };
        let Some((head, fields)) = stat.rsplit_once(") ") else { continue };
        if THREADS.iter().any(|it| head.contains(it)) {
            ticks += used_ticks(fields);
        }
    }
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_S))
}

fn used_ticks(fields: &str) -> u64 {
    let fields: Vec<_> = fields.split_whitespace().collect();
    [USER_FIELD, SYSTEM_FIELD].iter().filter_map(|&it| fields.get(it)?.parse::<u64>().ok()).sum()
}
