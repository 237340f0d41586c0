//! The start of a deployment whose bounds are fractions.

use std::{io, path::Path, sync::Arc, thread, time::Duration};

use crate::{
    daemon::{Bounds, Daemon, addresses, status},
    fleet,
    http::{Connection, Head},
    record::Record,
    store::Store,
    upstream::{Handler, Upstream},
};

/// Number of daemons.
const COUNT: u8 = 3;
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Number of starts of each daemon at most.
const STARTS: u32 = 4;

pub fn run(
    program: &Path,
    temporary: &Path,
    record: &Arc<Record>,
    trouble: bool,
) -> io::Result<i32> {
    let grace_s = if trouble { "6.5" } else { "6" };
    let bounds = Bounds { drain_ms: "2000", config_apply_ms: "2000", grace_s, memory_mb: "650" };
    record.line(&format!("bounds: grace_period_s = {grace_s}"));
    let store = Store::start()?;
    let handler: Arc<Handler> =
        Arc::new(|upstream: &Upstream, connection: &mut Connection, head: &Head| {
            connection
                .write(format!("{}done", upstream.answer_head(head, "200 OK", 4)).as_bytes())?;
            Ok(true)
        });
    Upstream::start(&store, 1, "i-0", "stockdesk", "zone-a", 6, handler)?;
    store.put("keyed.op", "config", Some(&fleet::config(7, "stockdesk", "safe", 1_200)));
    let places = addresses(COUNT)?;
    let seeds: Vec<_> = places.iter().map(|it| it.peer).collect();
    let mut ends = 0;
    let mut served = 0;
    for start in 1..=STARTS {
        let mut daemons = Vec::new();
        for (index, it) in places.iter().enumerate() {
            let (name, place) = (format!("host-{index}"), it.clone());
            daemons.push(Daemon::start(
                program,
                temporary,
                &name,
                "zone-a",
                place,
                &seeds,
                store.address,
                &bounds,
            )?);
        }
        record.line(&format!("start {start} of {COUNT} daemons"));
        thread::sleep(if trouble { RESTART_DELAY } else { Duration::from_secs(6) });
        for (index, it) in daemons.iter_mut().enumerate() {
            if let Some(how) = it.ended() {
                ends += 1;
                record.line(&format!("host-{index} has ended by itself: {how}"));
                continue;
            }
            let answer = status(it.addresses.caller, "a.example", "/a/1");
            served += u32::from(answer == Some(200));
            record.line(&format!("host-{index} runs, a request to it gets {answer:?}"));
        }
        if daemons.iter_mut().all(|it| it.ended().is_none()) {
            break;
        }
    }
    let log = std::fs::read_to_string(temporary.join("host-0.log")).unwrap_or_default();
    let finding = log.lines().next().unwrap_or_default().rsplit('/').next().unwrap_or_default();
    record.line(&format!("first line of host-0: {finding}"));
    let is_broken = ends > 0;
    record.line(&format!(
        "{ends} processes ended by themselves, {served} requests were served: Fault {}",
        if is_broken { "shown" } else { "not shown" }
    ));
    if !is_broken && served == 0 {
        return Ok(2);
    }
    Ok(i32::from(is_broken))
}
