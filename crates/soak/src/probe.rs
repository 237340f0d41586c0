//! Checks that a daemon with an outdated configuration gives no final refusal to a request that the
//! newest one allows.

use std::{
    io::{self, Write},
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use platform_standin::config;

use crate::caller::{self, Connection, Context};

/// Time after its publication by which a daemon must apply a configuration, or know that it may be
/// outdated. Default of the setting `config_apply`.
pub(crate) const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Pause between two requests to one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Number of requests that are sent to a paused daemon.
const PAUSED_REQUESTS: usize = 6;
/// Limit on the size of a body before the first configuration, in bytes: more than other callers send.
const MAX_BODY_BYTES: u64 = 128 << 10;
/// Bytes by which each configuration raises the limits on heads and bodies.
const RAISE_BYTES: u64 = 128;

/// What a request needs of the newest configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Need {
    Route,
    HeadLimit,
    BodyLimit,
}

/// A request whose head has been sent.
pub(crate) struct Probe {
    connection: Connection,
    need: Need,
    id: String,
    /// Sent once the daemon runs: the sockets of a paused one need not hold it.
    body: String,
}

/// Limits of a configuration on the sizes of a head and a body, in bytes.
pub(crate) fn limits(version: u64) -> (u64, u64) {
    let raise = version * RAISE_BYTES;
    (config::MAX_HEAD_BYTES as u64 + raise, MAX_BODY_BYTES + raise)
}

/// Sends requests to one daemon until `stop` is set.
pub(crate) fn run(context: &Context, daemon: usize) {
    while !context.stop.load(Ordering::Relaxed) {
        thread::sleep(REQUEST_INTERVAL);
        // A daemon that is killed or stopping may refuse connections.
        if let Ok(it) = Probe::send(context, daemon) {
            it.check(context);
        }
    }
}

/// Sends requests to a daemon that is paused. They wait in its sockets until it runs again.
pub(crate) fn send_while_paused(context: &Context, daemon: usize) -> Vec<Probe> {
    (0..PAUSED_REQUESTS).filter_map(|_| Probe::send(context, daemon).ok()).collect()
}

impl Probe {
    fn send(context: &Context, daemon: usize) -> io::Result<Self> {
        let serial = context.probes.fetch_add(1, Ordering::Relaxed);
        let need = [Need::Route, Need::HeadLimit, Need::BodyLimit][serial % 3];
        let mut connection = caller::connect_to(context, daemon)?;
        let version = context.publications.settled(CONFIG_APPLY);
        let id = format!("GET-settled-{need:?}-{version}-{daemon}-{serial}");
        context.ledger.record_request(Instant::now());
        let (head, body) = request(need, version, &id);
        connection.stream.write_all(head.as_bytes())?;
        Ok(Self { connection, need, id, body })
    }

    /// Reads the answer and checks it. A connection that breaks is no refusal.
    pub(crate) fn check(mut self, context: &Context) {
        // A daemon may have answered before it has read the whole request.
        drop(self.connection.stream.write_all(self.body.as_bytes()));
        let Ok(answer) = self.connection.read() else { return };
        context.ledger.record_probe(self.need, answer.status);
        caller::check(context, self.connection.daemon, &self.id, &[], &answer, false);
        let is_own = answer.status == 503 && !answer.head.contains(config::SIGNATURE);
        if is_own && !answer.head.contains("Retry-After: ") {
            let finding = format!("{} got 503 without Retry-After", self.id);
            context.ledger.add_finding(finding);
        }
    }
}

/// Builds head and body of a request that the configuration `version` and all later ones allow, but no
/// earlier one.
fn request(need: Need, version: u64, id: &str) -> (String, String) {
    let (head_bytes, body_bytes) = limits(version);
    let path = match need {
        Need::Route => config::since_path(version),
        Need::HeadLimit | Need::BodyLimit => "/read/1".to_owned(),
    };
    let body_bytes = if matches!(need, Need::BodyLimit) { body_bytes } else { 0 };
    let head = config::head("GET", &path, config::HOST, id, "5000");
    let mut out = format!("{head}Connection: close\r\nContent-Length: {body_bytes}\r\n");
    if matches!(need, Need::HeadLimit) {
        out.push_str("X-Padding: ");
        let length = (out.len() + "\r\n\r\n".len()) as u64;
        out.extend((length..head_bytes).map(|_| 'x'));
        out.push_str("\r\n");
    }
    out.push_str("\r\n");
    (out, (0..body_bytes).map(|_| 'x').collect())
}
