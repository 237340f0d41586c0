//! Cold upstreams: what they and peers say, and this daemon's parts of their rates.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::Gateway;
use crate::{
    dispatcher::Dispatcher,
    http::Head,
    load::SlowStart,
    peer::Temperature,
    registry::{self, Registration},
    upstream::ColdTime,
    wire::Names,
};

/// Time after the start within which a daemon sends nothing to cold upstreams, since it may not know
/// its peers yet.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// Maximum number of log lines per second about each kind of change.
const LINES_PER_S: u32 = 10;

impl Gateway {
    /// Records what the health answer of an upstream says about its slow start.
    pub fn record_health(&self, dispatcher: &Dispatcher, upstream: &Registration, head: &Head) {
        let Names { instance, cold_ms, .. } = self.protocol.names;
        let now = self.now();
        let mut service = dispatcher.service.borrow_mut();
        let id = &*upstream.id;
        let is_current =
            service.get(id).is_some_and(|it| it.registration.is_same_incarnation(upstream));
        if !is_current {
            return;
        }
        let cold_for = match head.get(cold_ms).map(|it| ColdTime::parse(it)) {
            // Without its name, an answer without the time may not be the upstream's own.
            None if head.get(instance).is_none() => return,
            None => Duration::ZERO,
            Some(ColdTime::Valid(it)) => it,
            Some(it) => {
                let is_long = it == ColdTime::TooLong;
                if service.record_odd_temperature(now, id, is_long) {
                    self.log_bounded("slow-start-odd", || {
                        format!("upstream={id} finding={it:?} clamped={is_long}")
                    });
                }
                return;
            }
        };
        if service.record_health(now, id, cold_for) {
            drop(service);
            self.temperature_news.borrow_mut().insert(upstream.id.clone());
            self.temperature_noticed.notify_one();
        }
    }

    /// Records what an upstream has said to a peer about its slow start.
    pub fn record_peer_temperature(&self, it: Temperature) {
        let Some((dispatcher, id)) = self.find_upstream(it.upstream) else { return };
        let cold_for = Duration::from_millis(it.cold_ms.into());
        dispatcher.service.borrow_mut().record_peer_temperature(self.now(), &id, cold_for);
    }

    /// Takes the temperatures that must be sent to peers.
    #[must_use]
    pub fn take_temperature_news(&self) -> Vec<Temperature> {
        let now = self.now();
        let ids = std::mem::take(&mut *self.temperature_news.borrow_mut());
        let news = ids.iter().filter_map(|id| {
            let dispatcher = self.dispatcher_of(id)?;
            let service = dispatcher.service.borrow();
            let cold_for = service.get(id)?.temperature.cold_for(now);
            let cold_ms = u32::try_from(cold_for.as_millis()).unwrap_or(u32::MAX);
            Some(Temperature { upstream: registry::key(id), cold_ms })
        });
        news.collect()
    }

    /// Sets what the cold upstreams of a service tolerate.
    pub(super) fn set_slow_start(&self, dispatcher: &Dispatcher, duration: Duration, rate: f64) {
        let settings = self.settings();
        dispatcher.service.borrow_mut().set_slow_start(SlowStart {
            duration,
            warmup_per_s: rate,
            overshoot: settings.slow_start_overshoot,
            slack: settings.slow_start_slack,
        });
    }

    /// Divides the rates of cold upstreams among the daemons.
    pub fn share_slow_starts(&self, now: Instant) {
        let is_new = now.saturating_duration_since(self.started) < DISCOVERY_TIME;
        let presence = if is_new { 0.0 } else { self.peers.borrow().presence(now) };
        for it in self.dispatchers.borrow().values() {
            it.service.borrow_mut().share_slow_start(now, presence);
        }
    }

    /// Logs upstreams that have become cold or warm, and updates the metrics.
    pub fn report_temperatures(&self, now: Instant) {
        let mut cold = 0;
        for dispatcher in self.dispatchers() {
            let mut service = dispatcher.service.borrow_mut();
            self.metrics.cold_requests_held.inc_by(service.take_held());
            cold += service.cold_count(now);
            for (id, is_cold) in service.take_temperature_changes(now) {
                let Some(it) = service.get(&id) else { continue };
                let (source, cold_for) = (it.temperature.source(), it.temperature.cold_for(now));
                let event = if is_cold { "upstream-cold" } else { "upstream-warm" };
                self.log_bounded(event, || {
                    format!("upstream={id} for_ms={} source={source}", cold_for.as_millis())
                });
            }
        }
        self.metrics.cold_upstreams.set(i64::try_from(cold).unwrap_or(i64::MAX));
    }

    fn log_bounded(&self, event: &'static str, text: impl Fn() -> String) {
        if self.log_limiter.borrow_mut().allows(self.now(), event, LINES_PER_S) {
            log::info!(target: "belief", "event={event} {}", text());
        }
    }

    /// Dispatchers of the services that limit requests to cold upstreams.
    #[must_use]
    pub fn limited_dispatchers(&self) -> Vec<Rc<Dispatcher>> {
        let mut res = self.dispatchers();
        res.retain(|it| it.service.borrow().slow_start().is_limited());
        res
    }
}
