//! Processor time of named threads, and memory, of this process.

use std::{fs, io, time::Duration};

/// Bytes of a page of memory.
const PAGE_BYTES: f64 = 4_096.0;
/// Bytes of a MiB.
const MIB: f64 = 1_048_576.0;

/// Processor time that threads with one of `names` have used so far; threads that have ended don't
/// count.
pub(crate) fn cpu(names: &[&str]) -> io::Result<Duration> {
    Ok(used(names)?.into_iter().sum())
}

/// Threads with one of `names`.
pub(crate) fn threads(names: &[&str]) -> io::Result<usize> {
    Ok(used(names)?.len())
}

/// Processor time of each thread with one of `names`.
fn used(names: &[&str]) -> io::Result<Vec<Duration>> {
    let mut res = Vec::new();
    for it in fs::read_dir("/proc/self/task")? {
        let path = it?.path();
        let Ok(name) = fs::read_to_string(path.join("comm")) else { continue };
        if !names.contains(&name.trim_end()) {
            continue;
        }
        let Ok(stat) = fs::read_to_string(path.join("schedstat")) else { continue };
        let used_ns = stat.split_whitespace().next().and_then(|it| it.parse().ok());
        res.push(Duration::from_nanos(used_ns.unwrap_or(0)));
    }
    Ok(res)
}

/// Memory of this process that is in use, in MiB.
pub(crate) fn memory_mib() -> io::Result<f64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let resident = statm.split_whitespace().nth(1).and_then(|it| it.parse::<u32>().ok());
    let pages = resident.ok_or_else(|| io::Error::other("no resident size in statm"))?;
    Ok(f64::from(pages) * PAGE_BYTES / MIB)
}
