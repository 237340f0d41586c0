//! Forwards a request to one upstream.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Admission, Refusal, Result};
use crate::{
    config::{Route, Tenant},
    decision::Attempt,
    dispatcher::{Dispatcher, Reservation},
    gateway::Gateway,
    http::{self, Message},
    load::{self, Outcome},
    registry::Registration,
    upstream::{Exchange, Failure, Rest},
};

/// Longest idle time of a connection reused for a request that must not run twice. The upstream may
/// be closing a connection idle for longer, and then it is unknown whether the request has run.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(1);
/// Longest idle time of a connection reused for an idempotent request.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(8);
/// Maximum size of the body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Size of a body that an upstream may leave unread while it works, in bytes. Smaller ones fit into its
/// receive buffer.
const LARGE_BODY_BYTES: usize = 16 << 10;
/// Timeout for opening a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How an attempt ended.
pub(super) enum End {
    /// An answer of the upstream itself.
    Answer(Message),
    /// The request has not run; `sent` says whether it was sent to the upstream.
    NotRun { message: String, sent: bool },
    /// The request was not sent, since the configuration now in force does not allow it.
    Refused(Refusal),
    /// No complete answer was received and the request may have run.
    Unknown(String),
}

/// An attempt that has ended.
pub(super) struct Finished {
    pub(super) end: End,
    pub(super) record: Attempt,
}

/// One attempt at an upstream.
pub(super) struct Forward<'a> {
    pub(super) gateway: &'a Rc<Gateway>,
    /// Route and tenant under which the request was accepted.
    pub(super) admission: &'a Admission,
    pub(super) dispatcher: &'a Rc<Dispatcher>,
    pub(super) route: &'a Route,
    pub(super) message: &'a Message,
    pub(super) received: Instant,
    pub(super) deadline: Instant,
    /// Whether other attempts may have run when this one started.
    pub(super) may_have_run: bool,
}

impl Forward<'_> {
    /// Sends the request, waits for the result and records it in the service.
    pub(super) async fn run(self, reservation: Reservation) -> Finished {
        let id = reservation.upstream().id.clone();
        let started = reservation.started();
        let (report_age, pace) = self.last_report(&id, started);
        let end = self.exchange(&reservation).await;
        let now = self.gateway.now();
        let took = now.saturating_duration_since(started);
        let at = started.saturating_duration_since(self.received);
        let (outcome, result) = outcome_of(&end);
        if outcome == Outcome::Success {
            let mut service = self.dispatcher.service.borrow_mut();
            service.record_answer(&id, reservation.serial(), &self.route.id, took);
        }
        reservation.finish(now, outcome);
        Finished { end, record: Attempt { upstream: id, report_age, pace, at, result, took } }
    }

    fn last_report(&self, id: &str, at: Instant) -> (Option<Duration>, Option<f64>) {
        let service = self.dispatcher.service.borrow();
        let upstream = service.get(id);
        (
            upstream.and_then(|it| it.report_age(at)),
            upstream.and_then(load::Upstream::reported_pace),
        )
    }

    async fn exchange(&self, reservation: &Reservation) -> End {
        let upstream = reservation.upstream();
        let gateway = self.gateway;
        let max_idle = if self.route.idempotence.is_idempotent() {
            MAX_IDLE_IDEMPOTENT
        } else {
            MAX_IDLE_NON_IDEMPOTENT
        };
        let connect = CONNECT_TIMEOUT.min(self.deadline.saturating_duration_since(gateway.now()));
        let taking = gateway.pool.take(upstream, gateway.now(), max_idle, connect);
        let connection = match taking.await {
            Ok(it) => it,
            Err(e) => return not_sent(format!("no connection: {e}")),
        };
        // The upstream may have begun to leave, or its domain may have been evacuated, while the
        // connection was opened.
        if !reservation.accepts_requests(gateway.now()) {
            return not_sent("the upstream takes no requests".to_owned());
        }
        // Another configuration may have come into force since the request was read.
        let tenant = match self.tenant_now(upstream) {
            Ok(it) => it,
            Err(it) => return End::Refused(it),
        };
        let left = self.deadline.saturating_duration_since(gateway.now());
        if left.as_millis() == 0 {
            return not_sent("no time left".to_owned());
        }
        let is_large = self.message.body.len() >= LARGE_BODY_BYTES;
        if is_large && let Err(e) = connection.allow_unread(left) {
            return not_sent(format!("socket option: {e}"));
        }
        let left = left.as_millis();
        let names = gateway.protocol.names;
        let left = left.to_string();
        let extra = [(names.deadline_ms, &*left), (names.expected_instance, &*upstream.id)];
        let tenant = tenant.as_ref().map(|it| (names.tenant, &*it.id));
        let extra: Vec<_> = extra.into_iter().chain(tenant).collect();
        let head = http::request_head(self.message, &extra, &[names.credential, names.tenant]);
        let exchange = Exchange {
            head: &head,
            body: &self.message.body,
            method: &self.message.head.method,
            id_name: names.request_id,
            id: self.message.head.get(names.request_id),
            body_limit: MAX_BODY_BYTES,
            memory: &gateway.memory,
        };
        match exchange.run(connection).await {
            Ok(it) => {
                self.report(upstream, &it.message);
                if !gateway.is_evacuated(&upstream.domain) {
                    let (now, idle) = (gateway.now(), self.dispatcher.idle_limit());
                    gateway.pool.put(upstream, now, it.connection, it.keep_alive, idle);
                }
                // An upstream that has refused or failed needs no more of the request.
                let is_success = matches!(it.message.head.status, 200..300);
                if let Some(rest) = it.rest.filter(|_| is_success) {
                    tokio::task::spawn_local(send_rest(Rc::clone(gateway), rest, self.deadline));
                }
                self.classify(it.message)
            }
            Err(Failure::NotSent(it)) => not_sent(it),
            Err(e) => End::Unknown(e.to_string()),
        }
    }

    /// Tenant of the request, which is about to be sent to `upstream`, under the configuration and the
    /// settings now in force.
    ///
    /// # Errors
    ///
    /// Refuses a request that this configuration does not allow as it was accepted.
    fn tenant_now(&self, upstream: &Registration) -> Result<Option<Arc<Tenant>>> {
        let table = self.gateway.table().ok_or_else(Refusal::not_ready)?;
        let is_same_table = Rc::ptr_eq(&table, &self.admission.table);
        if is_same_table && Rc::ptr_eq(&self.gateway.settings(), &self.admission.settings) {
            return Ok(self.admission.tenant.clone());
        }
        let head = &self.message.head;
        // The request was proper when it was sent, so the denial must not be final.
        let now = Admission::new(self.gateway, table, head)
            .map_err(|_denied| Refusal::route_changed())?;
        now.check_earlier(self.admission, upstream, self.may_have_run)?;
        Ok(now.tenant)
    }

    fn report(&self, upstream: &Registration, answer: &Message) {
        self.gateway.record_notice(upstream, &answer.head);
        let load = answer.head.get(self.gateway.protocol.names.load);
        let mut service = self.dispatcher.service.borrow_mut();
        match load.and_then(|it| (self.gateway.protocol.parse_load)(it)) {
            Some(it) => service.record_report(self.gateway.now(), &upstream.id, it),
            None => service.record_missing_report(),
        }
    }

    fn classify(&self, answer: Message) -> End {
        let names = &self.gateway.protocol.names;
        let head = &answer.head;
        if head.status == 421 || head.get(names.not_run).is_some() {
            return End::NotRun { message: format!("refused with {}", head.status), sent: true };
        }
        if matches!(head.status, 408 | 429 | 503) {
            // To the caller, these statuses would promise that the request has not run.
            return End::Unknown(format!(
                "status {} without a statement that it was not run",
                head.status
            ));
        }
        // Without a signature, nothing shows that the upstream made the answer. Callers would trust a
        // success, and would not repeat a request after a redirection or a client error.
        if !matches!(head.status, 500..600) && head.get(names.signature).is_none() {
            return End::Unknown(format!("status {} without a signature", head.status));
        }
        End::Answer(answer)
    }
}

/// Sends the rest of a request that has been answered. A planned stop waits for it like for a request.
async fn send_rest(gateway: Rc<Gateway>, rest: Rest, deadline: Instant) {
    gateway.in_progress.set(gateway.in_progress.get() + 1);
    if let Err(e) = rest.send(deadline).await {
        log::info!(target: "request", "event=upload-not-read error=\"{e}\"");
    }
    gateway.in_progress.set(gateway.in_progress.get().saturating_sub(1));
}

fn not_sent(message: String) -> End {
    End::NotRun { message, sent: false }
}

fn outcome_of(end: &End) -> (Outcome, String) {
    match end {
        End::Answer(it) if it.head.status < 500 => (Outcome::Success, it.head.status.to_string()),
        End::Answer(it) => (Outcome::Failure, it.head.status.to_string()),
        End::NotRun { message, sent } => {
            let outcome = if *sent { Outcome::Refused } else { Outcome::Failure };
            (outcome, message.replace(' ', "-"))
        }
        End::Refused(it) => (Outcome::Cancelled, it.reason.to_owned()),
        End::Unknown(message) => (Outcome::Failure, message.replace(' ', "-")),
    }
}
