//! What upstreams say about themselves in their answers: that they leave or want a pause.

use super::Gateway;
use crate::{http::Head, peer::Departure, registry::Registration, upstream::Notice};

impl Gateway {
    /// Records what an upstream says about itself in the head of an answer.
    pub fn record_notice(&self, upstream: &Registration, head: &Head) {
        let notice = Notice::parse(head, &self.protocol.names, &upstream.id);
        if let Some(pause) = notice.pause {
            log::info!(
                target: "belief",
                "event=upstream-pauses upstream={} pause_ms={}", upstream.id, pause.as_millis()
            );
            let until = self.now() + pause;
            self.withdrawals.borrow_mut().pause(&upstream.id, upstream.born_ms, until);
            self.update_withdrawal(upstream);
        }
        let departure = Departure { upstream: upstream.id.clone(), born_ms: upstream.born_ms };
        if notice.is_leaving && self.record_departure(&departure, "answer") {
            self.departures.borrow_mut().push(departure);
            self.departure_noticed.notify_one();
        }
    }

    /// Whether nothing speaks against sending to a registered incarnation now.
    #[must_use]
    pub fn accepts_requests(&self, upstream: &Registration) -> bool {
        !self.is_evacuated(&upstream.domain)
            && !self.withdrawals.borrow().get(upstream).is_in_force(self.now())
    }

    /// Records that an upstream is leaving; returns whether this is new.
    pub fn record_departure(&self, departure: &Departure, source: &str) -> bool {
        let Departure { upstream: id, born_ms } = departure;
        if !self.withdrawals.borrow_mut().leave(id, *born_ms) {
            return false;
        }
        log::info!(
            target: "belief",
            "event=upstream-leaving upstream={id} born_ms={born_ms} source={source}"
        );
        let dispatcher = self.dispatcher_of(id);
        let registration =
            dispatcher.and_then(|it| it.service.borrow().get(id).map(|it| it.registration.clone()));
        if let Some(it) = registration {
            self.update_withdrawal(&it);
        }
        true
    }

    /// Takes the departures that must be sent to peers.
    #[must_use]
    pub fn take_departures(&self) -> Vec<Departure> {
        std::mem::take(&mut *self.departures.borrow_mut())
    }

    /// The newest departures, at most `count`.
    #[must_use]
    pub fn newest_departures(&self, count: usize) -> Vec<Departure> {
        let newest = self.withdrawals.borrow().newest_leaving(count);
        newest.into_iter().map(|(upstream, born_ms)| Departure { upstream, born_ms }).collect()
    }

    /// Passes the withdrawal of an upstream on to its service.
    pub(super) fn update_withdrawal(&self, upstream: &Registration) {
        let withdrawal = self.withdrawals.borrow().get(upstream);
        let Some(dispatcher) = self.dispatcher(&upstream.service) else { return };
        dispatcher.service.borrow_mut().set_withdrawal(&upstream.id, withdrawal);
        if withdrawal.is_in_force(self.now()) {
            self.pool.remove(&upstream.id);
        }
    }
}
