//! Runs the order engine behind a lock and performs the actions that it returns.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use clock::Clock;
use member::Liveness;
use order::{
    Action, Engine, Event, Incarnation, Key, Lease, Outcome, Session, Settings, Submission, Ticket,
};
use tokio::{
    runtime::Handle,
    sync::{Notify, oneshot},
};

use super::{
    Message,
    journal::{Journal, Wakeup},
};
use crate::{membership::Membership, state::lock};

/// Low bits of an incarnation, which count how often a daemon's orders were revoked; the others
/// identify the daemon.
const GENERATION_BITS: u32 = 16;
/// Maximum time between two checks of the engine's timers.
const MAX_TIMER_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the heartbeats of a peer that executes an order are checked.
const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The engine's decision on a waiting request.
pub(super) enum Verdict {
    /// Execute the order.
    Run,
    /// Reply with this outcome.
    Reply(Outcome),
}

/// A request that waits for the engine.
struct Waiting {
    verdict: oneshot::Sender<Verdict>,
    /// The message to forward if another daemon issued the session.
    message: Arc<Message>,
    deadline: Instant,
}

/// Another entry host.
struct Peer {
    address: SocketAddr,
    is_suspect: bool,
}

/// Access to the other entry hosts.
pub(super) struct Peers {
    pub(super) membership: Arc<Membership>,
    pub(super) client: Arc<peer::Client>,
}

/// Runs the order engine of one daemon.
pub struct Driver {
    clock: Arc<dyn Clock>,
    engine: Mutex<Engine>,
    waiting: Mutex<HashMap<Ticket, Waiting>>,
    rng: Mutex<fastrand::Rng>,
    next_ticket: AtomicU64,
    next_incarnation: AtomicU64,
    journal: Journal,
    peers: Peers,
    runtime: Handle,
    changed: Notify,
}

impl Driver {
    /// Creates a driver with a new engine, whose first incarnation is the daemon's.
    pub(super) fn new(
        clock: Arc<dyn Clock>,
        incarnation: Incarnation,
        journal: Journal,
        peers: Peers,
        runtime: Handle,
    ) -> Arc<Self> {
        let first = daemon_of(incarnation);
        let (engine, actions) = Engine::new(Settings::default(), first);
        let res = Arc::new(Self {
            clock,
            engine: Mutex::new(engine),
            waiting: Mutex::default(),
            rng: Mutex::new(fastrand::Rng::with_seed(incarnation)),
            next_ticket: AtomicU64::new(1),
            next_incarnation: AtomicU64::new(first + 1),
            journal,
            peers,
            runtime,
            changed: Notify::new(),
        });
        for it in actions {
            let _event = res.perform(it);
        }
        res
    }

    /// Runs the engine's timers until the runtime ends.
    pub(super) async fn run_timers(self: Arc<Self>) {
        loop {
            let now = self.clock.now();
            let latest = now + MAX_TIMER_INTERVAL;
            let wakeup = lock(&self.engine).next_wakeup(now).map_or(latest, |it| it.min(latest));
            tokio::select! {
                () = tokio::time::sleep_until(wakeup.into()) => self.handle(Event::Tick),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Passes an event to the engine and performs the actions that it returns.
    pub fn handle(self: &Arc<Self>, event: Event) {
        let mut events = VecDeque::from([event]);
        // Actions are performed under the lock to keep their order; none of them blocks.
        let mut engine = lock(&self.engine);
        while let Some(event) = events.pop_front() {
            let actions = engine.handle(event, self.clock.now());
            events.extend(actions.into_iter().filter_map(|it| self.perform(it)));
        }
        drop(engine);
        self.changed.notify_one();
    }

    /// Submits a request and waits until it may run or has an outcome. The engine decides on every
    /// request by its deadline.
    pub(super) async fn submit(
        self: &Arc<Self>,
        message: Message,
        make: impl FnOnce(Ticket) -> Submission,
    ) -> Option<Verdict> {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (verdict, decided) = oneshot::channel();
        let submission = make(ticket);
        let message = Arc::new(message);
        let waiting = Waiting { verdict, message, deadline: submission.deadline };
        lock(&self.waiting).insert(ticket, waiting);
        self.handle(Event::Submitted(submission));
        decided.await.ok()
    }

    /// Whether an order may be sent now.
    pub(super) fn permit(self: &Arc<Self>, key: &Key) -> bool {
        let now = self.clock.now();
        let denied = lock(&self.engine).permit(key, now).err();
        let Some(denial) = denied else { return true };
        log::info!("order not sent, its outcome is {:?}", denial.outcome);
        for it in denial.actions {
            if let Some(event) = self.perform(it) {
                self.handle(event);
            }
        }
        false
    }

    /// Renews the given session if it can take more orders, otherwise issues a new one.
    #[must_use]
    pub fn lease(&self, renewed: Option<Session>, journaled: bool) -> Option<Lease> {
        let now = self.clock.now();
        let nonce = lock(&self.rng).u64(..);
        let mut engine = lock(&self.engine);
        let renewed = renewed.and_then(|it| engine.renew(&it, now));
        renewed.or_else(|| engine.issue(journaled, nonce, now))
    }

    pub(super) fn wake_reader(&self, wakeup: Wakeup) {
        self.journal.wake(wakeup);
    }

    pub(super) fn is_log_up(&self) -> bool {
        lock(&self.engine).is_log_up()
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Performs an action; returns the event that results from it at once, if any.
    fn perform(self: &Arc<Self>, action: Action) -> Option<Event> {
        match action {
            Action::Reply(ticket, outcome) => self.reply(ticket, Verdict::Reply(outcome)),
            Action::Start(ticket, key) => {
                if !self.start(ticket) {
                    let outcome = Outcome::NotRun(order::Reason::Refused);
                    return Some(Event::Finished(key, outcome));
                }
            }
            Action::Forward(ticket, to) => self.forward(ticket, to),
            Action::Append { batch, stream, record } => {
                self.journal.append(Arc::clone(self), batch, stream, record);
            }
            Action::Follow(stream, from) => self.journal.follow(stream, from),
            Action::Unfollow(stream) => self.journal.unfollow(stream),
            Action::StartIncarnation => {
                let next = self.next_incarnation.fetch_add(1, Ordering::Relaxed);
                log::warn!("orders of this daemon were revoked; new incarnation {next:016x}");
                return Some(Event::IncarnationStarted(next));
            }
            Action::Skipped { stream, offset, finding } => {
                log::warn!("stream {stream}, record {offset} skipped: {finding}");
            }
        }
        None
    }

    fn reply(&self, ticket: Ticket, verdict: Verdict) {
        let Some(it) = lock(&self.waiting).remove(&ticket) else { return };
        // The request may have been dropped.
        let _gone = it.verdict.send(verdict);
    }

    fn start(&self, ticket: Ticket) -> bool {
        let waiting = lock(&self.waiting).remove(&ticket);
        waiting.is_some_and(|it| it.verdict.send(Verdict::Run).is_ok())
    }

    fn forward(self: &Arc<Self>, ticket: Ticket, to: Incarnation) {
        let Some((message, deadline)) =
            lock(&self.waiting).get(&ticket).map(|it| (Arc::clone(&it.message), it.deadline))
        else {
            return;
        };
        let this = Arc::clone(self);
        self.runtime.spawn(async move {
            let timeout = deadline.saturating_duration_since(this.clock.now());
            let event = match this.call(to, &message, timeout).await {
                Ok(outcome) => Event::ForwardAnswered(ticket, outcome),
                Err(e) => {
                    log::debug!("forwarding an order to incarnation {to:016x} failed: {e}");
                    Event::ForwardFailed { ticket, gone: false }
                }
            };
            this.handle(event);
        });
    }

    async fn call(
        &self,
        to: Incarnation,
        message: &Message,
        timeout: Duration,
    ) -> peer::Result<Outcome> {
        let peer = self.find(to).ok_or_else(|| {
            peer::Error::NotReached("no entry host of that incarnation is known".into())
        })?;
        let order = message.with_remaining(timeout);
        tokio::select! {
            res = self.peers.client.forward(peer.address, &order, timeout) => res,
            () = self.wait_until_suspect(to) => {
                Err(peer::Error::NoAnswer("its heartbeats are overdue".into()))
            }
        }
    }

    /// Waits until a daemon is suspected or no longer a peer. An order may take long, so a crash is
    /// detected by missing heartbeats.
    async fn wait_until_suspect(&self, incarnation: Incarnation) {
        while self.find(incarnation).is_some_and(|it| !it.is_suspect) {
            tokio::time::sleep(SUSPECT_POLL_INTERVAL).await;
        }
    }

    fn find(&self, incarnation: Incarnation) -> Option<Peer> {
        let daemon = daemon_of(incarnation);
        let mut known = self.peers.membership.peers().into_iter();
        let (identity, _, liveness) = known.find(|it| daemon_of(it.0.incarnation) == daemon)?;
        Some(Peer { address: identity.address, is_suspect: liveness == Liveness::Suspect })
    }
}

/// Returns the first incarnation of the daemon that an incarnation belongs to.
fn daemon_of(incarnation: Incarnation) -> Incarnation {
    incarnation >> GENERATION_BITS << GENERATION_BITS
}
