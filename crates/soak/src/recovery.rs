//! What must hold once all faults have ended.

use std::{
    io::Write,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Proxy, Upstream, config, upstream::Mode};
use rustix::process::Signal;

use crate::{
    Result,
    caller::{self, Context},
    environment::{Environment, REPLACED, UPSTREAMS_IN_B},
    faults::STOP_TIMEOUT,
    form, oddities, watcher,
};

/// Time after the last fault after which no effects of faults may remain.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Time within which every daemon must apply a new configuration or an upstream's change of state.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time by which every daemon has heard that an upstream leaves or pauses.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause that an upstream asks for.
const PAUSE: Duration = Duration::from_secs(4);
/// Requests that a daemon may send to an upstream during its pause.
const PAUSED_REQUESTS: usize = 2;
/// Time within which every daemon must apply an evacuation.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an evacuated domain must get nothing.
const EVACUATION_TIME: Duration = Duration::from_secs(2);
/// Time for which a process must get requests after it has taken over an id, and the former one none.
const REPLACEMENT_TIME: Duration = Duration::from_secs(2);
/// Time in which a process says in its answers that it leaves before another takes over its id.
const NOTICE_TIME: Duration = Duration::from_millis(200);
/// The upstream in whose name another writer writes.
const IMPERSONATED: usize = 2;
/// Number of its entries without a field in a run.
const INCOMPLETE_ENTRIES: u64 = 3;
/// Time for which each of its entries stands.
const ODD_ENTRY_TIME: Duration = Duration::from_millis(700);
/// Number of connections with long paths to a daemon, and of requests on each.
const LONG_PATH_CONNECTIONS: usize = 4;
const LONG_PATH_REQUESTS: usize = 20;
/// Time for the first of them to arrive.
const LONG_PATH_HEADSTART: Duration = Duration::from_millis(100);
/// Maximum resident memory of a daemon, in bytes. Default of its settings.
const MEMORY_LIMIT_BYTES: u64 = 512 << 20;

/// Checks that no daemon's resident memory has exceeded the limit in its settings.
fn check_memory(env: &Environment) {
    for (number, it) in env.daemons.borrow().iter().enumerate() {
        let peak = it.peak_bytes().unwrap_or_default();
        if peak > MEMORY_LIMIT_BYTES {
            env.context.ledger.add_finding(format!("daemon {number} held {peak} bytes"));
        }
    }
}

/// Checks that upstreams that say in their answers that they leave or pause are left alone.
fn check_withdrawals(env: &Environment) {
    // While every upstream withdraws, callers are refused.
    env.context.is_fault_free.store(false, Ordering::Relaxed);
    let (leaving, pausing) = env.upstreams.split_at(1);
    let arrivals = |upstreams: &[(Upstream, Proxy)]| -> usize {
        upstreams.iter().map(|it| it.0.arrivals().len()).sum()
    };
    for (it, _) in leaving {
        it.set_mode(Mode::Leaving);
    }
    thread::sleep(WITHDRAWAL_TIMEOUT);
    for (it, _) in pausing {
        it.set_mode(Mode::Pause(PAUSE));
    }
    thread::sleep(WITHDRAWAL_TIMEOUT);
    let (at_leaving, at_pausing) = (arrivals(leaving), arrivals(pausing));
    thread::sleep(PAUSE / 2);
    if arrivals(leaving) > at_leaving {
        let finding = "an upstream that said that it leaves got new requests";
        env.context.ledger.add_finding(finding.to_owned());
    }
    let sent = arrivals(pausing) - at_pausing;
    if sent > PAUSED_REQUESTS * env.daemons.borrow().len() * pausing.len() {
        let finding = format!("upstreams that asked for a pause got {sent} requests");
        env.context.ledger.add_finding(finding);
    }
    for (number, (upstream, _)) in env.upstreams.iter().enumerate() {
        upstream.restart();
        env.register(number, "ready");
    }
    thread::sleep(PROPAGATION_TIMEOUT);
    env.context.is_fault_free.store(true, Ordering::Relaxed);
}

/// Checks that an evacuated failure domain gets neither requests nor health checks once the time
/// limit has passed, and that it is used again once it is taken back.
fn check_evacuation(env: &Environment) {
    let received = || -> usize {
        let upstreams = env.upstreams[UPSTREAMS_IN_B].iter();
        upstreams.map(|(it, _)| it.arrivals().len() + it.probes()).sum()
    };
    env.evacuate();
    thread::sleep(EVACUATION_TIMEOUT);
    let before = received();
    thread::sleep(EVACUATION_TIME);
    let sent = received() - before;
    if sent > 0 {
        let finding = format!("an evacuated failure domain got {sent} requests");
        env.context.ledger.add_finding(finding);
    }
    env.take_back();
    let before = received();
    thread::sleep(EVACUATION_TIMEOUT);
    if received() == before {
        let finding = "a failure domain that was taken back got no requests";
        env.context.ledger.add_finding(finding.to_owned());
    }
}

/// Makes an upstream leave, and checks that an earlier write of it that the store executes late does
/// not bring it back.
fn check_late_write(env: &Environment) {
    let late = env.entry(0, "ready");
    env.register(0, "ready");
    env.register(0, "draining");
    thread::sleep(PROPAGATION_TIMEOUT);
    let before = env.upstreams[0].0.runs();
    // Also twice.
    env.write_entry(0, &late);
    env.write_entry(0, &late);
    thread::sleep(PROPAGATION_TIMEOUT);
    if env.upstreams[0].0.runs() != before {
        let finding = "a late write made a leaving upstream ready again";
        env.context.ledger.add_finding(finding.to_owned());
    }
    env.register(0, "draining");
}

/// Checks that an entry without one of the fields, or with a start in the future, leads nobody to the
/// address that it names, and that its upstream is used again once it has written itself.
fn check_odd_entries(env: &Environment) {
    let stranger = &env.replacement;
    let before = stranger.arrivals().len();
    let first = env.context.seed.wrapping_mul(INCOMPLETE_ENTRIES);
    let forms = (0..INCOMPLETE_ENTRIES).map(|it| config::incomplete_form(first.wrapping_add(it)));
    for form in forms.chain([config::FUTURE_FORM]) {
        let entry = env.entry_at(IMPERSONATED, stranger.address);
        env.write_entry(IMPERSONATED, &config::odd_entry(&entry, form));
        thread::sleep(ODD_ENTRY_TIME);
        env.register(IMPERSONATED, "ready");
    }
    if let Some((id, _)) = stranger.arrivals().get(before) {
        let finding = format!("an odd entry led {id} to the address that it named");
        env.context.ledger.add_finding(finding);
    }
    thread::sleep(PROPAGATION_TIMEOUT);
    let before = env.upstreams[IMPERSONATED].0.arrivals().len();
    thread::sleep(REPLACEMENT_TIME);
    if env.upstreams[IMPERSONATED].0.arrivals().len() == before {
        let finding = "an upstream that wrote behind an odd entry got no requests";
        env.context.ledger.add_finding(finding.to_owned());
    }
}

/// Checks that many requests whose paths are as long as allowed don't hold up another one beyond its
/// time limit.
fn check_long_paths(env: &Environment) {
    let context = &*env.context;
    // They may be more than the upstreams can do.
    context.is_fault_free.store(false, Ordering::Relaxed);
    let path = form::long_path("/read/1", 0);
    for daemon in 0..context.addresses.len() {
        thread::scope(|scope| {
            for number in 0..LONG_PATH_CONNECTIONS {
                let id = move |it| format!("GET-long-{daemon}-{number}-{it}");
                let requests: Vec<_> =
                    (0..LONG_PATH_REQUESTS).map(|it| (path.clone(), id(it))).collect();
                scope.spawn(move || pipeline(context, daemon, &requests));
            }
            thread::sleep(LONG_PATH_HEADSTART);
            let sent = Instant::now();
            let request = ("/read/1".to_owned(), format!("GET-beside-{daemon}"));
            pipeline(context, daemon, &[request]);
            if sent.elapsed() > context.time_limit {
                let finding = format!("daemon {daemon} was held up by long paths");
                context.ledger.add_finding(finding);
            }
        });
    }
    thread::sleep(PROPAGATION_TIMEOUT);
    context.is_fault_free.store(true, Ordering::Relaxed);
}

/// Sends requests of these paths and ids on one connection, and checks that all are answered.
fn pipeline(context: &Context, daemon: usize, requests: &[(String, String)]) {
    let ledger = &context.ledger;
    let exchange = || {
        let mut connection = caller::connect_to(context, daemon)?;
        for (path, id) in requests {
            ledger.record_request(Instant::now());
            let text = config::request("GET", path, id, false);
            connection.stream.write_all(text.as_bytes())?;
        }
        for (_, id) in requests {
            caller::check(context, daemon, id, &[], &connection.read()?, false);
        }
        std::io::Result::Ok(())
    };
    if let Err(e) = exchange() {
        ledger.add_finding(format!("daemon {daemon} broke off requests beside long paths: {e}"));
    }
}

/// Has another process take over an upstream's id, and the former one take it back. The one that has
/// lost it still listens and says in its answers that it leaves, also before the other registers.
fn check_replacement(env: &Environment) {
    let (first, second) = (&env.upstreams[REPLACED].0, &env.replacement);
    env.register_replacement();
    first.set_mode(Mode::Leaving);
    check_taken_over(env, first, second);
    second.set_mode(Mode::Leaving);
    thread::sleep(NOTICE_TIME);
    first.restart();
    env.register(REPLACED, "ready");
    check_taken_over(env, second, first);
}

/// Checks that the newest process of an id gets its requests and the former one none.
fn check_taken_over(env: &Environment, former: &Upstream, newest: &Upstream) {
    let ledger = &env.context.ledger;
    thread::sleep(PROPAGATION_TIMEOUT);
    let (at_former, at_newest) = (former.arrivals().len(), newest.arrivals().len());
    thread::sleep(REPLACEMENT_TIME);
    if let Some((id, _)) = former.arrivals().get(at_former) {
        ledger.add_finding(format!("a process whose id has been taken over got {id}"));
    }
    if newest.arrivals().len() == at_newest {
        let finding = "a process that has taken over an id got no requests";
        ledger.add_finding(finding.to_owned());
    }
}

/// Checks that the daemons recover, that they apply a new configuration and an upstream's
/// change of state in time, and that planned stops break no request in flight.
pub(crate) fn check(env: &Environment) -> Result<()> {
    let ledger = &env.context.ledger;
    if !env.wait_ready() {
        ledger.add_finding("not every daemon became ready again".to_owned());
    }
    thread::sleep(RECOVERY_TIME);
    env.context.is_fault_free.store(true, Ordering::Relaxed);
    // Of all daemons, so that none hears of the configuration from another.
    for daemon in 0..env.daemons.borrow().len() {
        env.move_store(daemon)?;
    }
    env.publish();
    thread::sleep(PROPAGATION_TIMEOUT);
    for (number, it) in env.daemons.borrow().iter().enumerate() {
        let path = env.newest_path();
        if !watcher::serves(it.caller_address, &path, "GET-check", PROPAGATION_TIMEOUT)
            .unwrap_or(false)
        {
            ledger.add_finding(format!("daemon {number} does not serve the newest configuration"));
        }
    }
    oddities::check_directory(env);
    check_memory(env);
    check_withdrawals(env);
    check_evacuation(env);
    check_replacement(env);
    check_odd_entries(env);
    check_long_paths(env);
    check_late_write(env);
    let before = env.upstreams[0].0.runs();
    let count = env.daemons.borrow().len();
    for number in 0..count {
        let mut daemons = env.daemons.borrow_mut();
        daemons[number].signal(Signal::TERM)?;
        if !daemons[number].wait(STOP_TIMEOUT)? {
            ledger.add_finding(format!(
                "daemon {number} did not end within the time limit of a planned stop"
            ));
        }
        // The simulated callers don't query the directory, so their connections may be refused
        // until the daemon runs again.
        env.context.is_fault_free.store(false, Ordering::Relaxed);
        daemons[number].start()?;
        drop(daemons);
        if !env.wait_ready() {
            ledger
                .add_finding(format!("daemon {number} did not become ready after a planned stop"));
        }
        env.context.is_fault_free.store(true, Ordering::Relaxed);
    }
    if env.upstreams[0].0.runs() != before {
        ledger.add_finding("a leaving upstream got new requests".to_owned());
    }
    if env.context.fault_free_requests.load(Ordering::Relaxed) == 0 {
        ledger.add_finding("no request was sent in the calm time".to_owned());
    }
    Ok(())
}
