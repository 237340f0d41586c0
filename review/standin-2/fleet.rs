//! A small deployment: a store with a configuration, and daemons.

use std::{io, path::Path, thread, time::Duration};

use crate::{
    daemon::{Bounds, Daemon, addresses},
    store::Store,
};

/// Time after which machines count as in touch, and daemons know one another.
const CALM: Duration = Duration::from_millis(4_500);

/// Time within which daemons that start are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A configuration with one service and one route to it.
pub fn config(version: u32, service: &str, kind: &str, timeout_ms: u32) -> String {
    format!(
        "{{\"version\":{version},\"services\":[{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\
         \"max_conns\":3600,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"virtual_hosts\":[{{\"hostname\":\"a.example\",\"paths\":[{{\"name\":\"r-1\",\
         \"path_prefix\":\"/a/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
         \"target_latency_ms\":1000,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2}}]}}]}}"
    )
}

/// Starts `count` daemons and waits until they are ready and in touch; `None` if they don't get ready.
pub fn start(
    program: &Path,
    temporary: &Path,
    store: &Store,
    count: u8,
    bounds: &Bounds,
) -> io::Result<Option<Vec<Daemon>>> {
    let places = addresses(count)?;
    let seeds: Vec<_> = places.iter().map(|it| it.peer).collect();
    let mut daemons = Vec::new();
    for (index, it) in places.into_iter().enumerate() {
        let name = format!("host-{index}");
        daemons.push(Daemon::start(
            program,
            temporary,
            &name,
            "zone-a",
            it,
            &seeds,
            store.address,
            bounds,
        )?);
    }
    if !daemons.iter().all(|it| it.await_ready(READY_TIMEOUT)) {
        return Ok(None);
    }
    thread::sleep(CALM);
    Ok(Some(daemons))
}
