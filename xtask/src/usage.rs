//! Processor time of this process' threads by name, and its memory.

use std::{fs, io, time::Duration};

/// Size of a memory page in bytes.
const PAGE_BYTES: f64 = 4_096.0;
const MIB: f64 = 1_048_576.0;

/// Total processor time of the running threads with one of `names`. Threads that have ended are not
/// included.
pub(crate) fn cpu(names: &[&str]) -> io::Result<Duration> {
    Ok(thread_times(names)?.into_iter().sum())
}

/// Number of running threads with one of `names`.
pub(crate) fn threads(names: &[&str]) -> io::Result<usize> {
    Ok(thread_times(names)?.len())
}

/// Processor time of each thread with one of `names`.
fn thread_times(names: &[&str]) -> io::Result<Vec<Duration>> {
    let mut res = Vec::new();
    for it in fs::read_dir("/proc/self/task")? {
        let path = it?.path();
        let Ok(name) = fs::read_to_string(path.join("comm")) else { continue };
        if !names.contains(&name.trim_end()) {
            continue;
        }
        let Ok(stat) = fs::read_to_string(path.join("schedstat")) else { continue };
        let time_ns = stat.split_whitespace().next().and_then(|it| it.parse().ok());
        res.push(Duration::from_nanos(time_ns.unwrap_or(0)));
    }
    Ok(res)
}

/// Resident memory of this process, in MiB.
pub(crate) fn memory_mib() -> io::Result<f64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let resident = statm.split_whitespace().nth(1).and_then(|it| it.parse::<u32>().ok());
    let pages = resident.ok_or_else(|| io::Error::other("no resident size in statm"))?;
    Ok(f64::from(pages) * PAGE_BYTES / MIB)
}
