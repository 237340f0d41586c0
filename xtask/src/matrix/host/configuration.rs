//! The configuration: reads the log, exchanges snapshots with peers, and puts versions in force.

use document::{Replica, publication};
use order::{Event, Stream};

use super::{Host, POLL_INTERVAL};
use crate::matrix::{
    guard::Guard,
    message::{Endpoint, Message, Page},
    network::{HOSTS, MESSAGE_DELAY, Network},
    step::Step,
};

impl Host {
    /// Requests the next records of every followed stream.
    pub(super) fn poll(&mut self, net: &mut Network) {
        debug_assert!(POLL_INTERVAL > MESSAGE_DELAY);
        let mut reads: Vec<(String, u64)> =
            self.cursors.iter().map(|(stream, at)| (stream.to_string(), *at)).collect();
        let follows_log = net.has_guard(Guard::FollowLog) || self.version.is_none();
        if let Some(it) = self.replica.request().filter(|_| follows_log) {
            reads.push((it.stream.to_owned(), it.from));
        }
        for (stream, at) in reads {
            if self.pending_reads.insert(stream.clone()) {
                let from = self.endpoint();
                net.send(Endpoint::Log, MESSAGE_DELAY, Message::Read { from, stream, at });
            }
        }
    }

    pub(super) fn records(&mut self, stream: &str, page: Option<Page>, net: &mut Network) {
        self.pending_reads.remove(stream);
        self.handle_event(Event::Log { up: page.is_some() }, net);
        let Some(page) = page else { return self.request_snapshots(net) };
        let followed = self.cursors.keys().find(|it| it.to_string() == stream).copied();
        match followed {
            Some(it) => self.read_orders(it, page, net),
            None if self.replica.request().is_some_and(|it| it.stream == stream) => {
                self.read_document(stream, &page, net);
            }
            None => {}
        }
    }

    fn read_orders(&mut self, stream: Stream, page: Page, net: &mut Network) {
        for (offset, record) in page.records {
            let expected = self.cursors.get_mut(&stream).filter(|it| **it == offset);
            let Some(expected) = expected else { continue };
            *expected = offset + 1;
            if !self.hides_record(stream, &record, net) {
                self.handle_event(Event::Read { stream, offset, record }, net);
            }
        }
    }

    fn read_document(&mut self, stream: &str, page: &Page, net: &mut Network) {
        if stream == publication::STREAM && self.version.is_some() && !page.records.is_empty() {
            net.reach(Step::PublicationRead, self.number, None);
        }
        let progress = self.replica.apply_page(0, page.next, &page.records);
        self.put_in_force(net);
        if !progress.should_wait {
            self.poll(net);
        }
    }

    pub(super) fn request_snapshots(&self, net: &mut Network) {
        for other in (0..HOSTS).filter(|it| *it != self.number) {
            let request = Message::SnapshotRequest { from: self.endpoint() };
            net.send_peer(self.number, net.host(other), request);
        }
    }

    pub(super) fn send_snapshot(&self, to: Endpoint, net: &mut Network) {
        if self.version.is_some() {
            let record = document::snapshot::encode(self.replica.fold(), 0);
            let leaving = self.leaving_upstreams.clone();
            net.send_peer(self.number, to, Message::Snapshot { record, leaving });
        }
    }

    pub(super) fn offer_snapshot(&mut self, record: &[u8], net: &mut Network) {
        if !net.has_guard(Guard::NoRevert) {
            self.replica = Replica::default();
        }
        if self.replica.adopt_snapshot(record).unwrap_or(false) {
            self.put_in_force(net);
        }
    }

    fn put_in_force(&mut self, net: &mut Network) {
        let fold = self.replica.fold();
        let Some(version) = fold.version().filter(|it| Some(*it) != self.version) else { return };
        let document = fold.document();
        let is_first = self.version.replace(version).is_none();
        let ranks: Vec<_> = document
            .ranks
            .iter()
            .map(|it| admission::Rank {
                id: it.id.clone(),
                order: it.order,
                floor_percent: it.floor_percent,
            })
            .collect();
        let upstreams = document.upstreams.iter().map(|it| balance::Upstream {
            id: it.id.clone(),
            domain: it.domain.clone(),
            slots: it.slots,
        });
        self.balancer.set_upstreams(net.now, upstreams.collect());
        self.mark_leaving_upstreams(net);
        let events = self.gate.set_ranks(net.now, &ranks);
        self.handle_gate_events(&events, net);
        self.update_capacity(net);
        if let member::Lifecycle::Starting(it) = self.stage {
            self.stage = member::Lifecycle::Ready(it.ready());
        }
        // The member table counts versions from 1 and uses 0 for no version.
        self.table.set_version(version + 1);
        self.announce_phase(self.stage.phase(), net);
        let live = net.live();
        net.ledger.record_version(self.number, version, &live, net.now);
        if version > 0 && !is_first {
            net.reach(Step::PublicationInForce, self.number, None);
        }
        if is_first && self.number == HOSTS - 1 {
            net.reach(Step::HostReady, self.number, None);
        }
    }
}
