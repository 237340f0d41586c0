//! The configuration: reads of the log, snapshots from peers, versions in force.

use document::{Replica, publication};
use order::{Event, Stream};

use super::{Host, POLL};
use crate::matrix::{
    guard::Guard,
    message::{Message, Node, Page},
    net::{HOP, HOSTS, Net},
    step::Step,
};

impl Host {
    /// Reads on in every stream that is followed.
    pub(super) fn poll(&mut self, net: &mut Net) {
        debug_assert!(POLL > HOP);
        let mut wanted: Vec<(String, u64)> =
            self.follows.iter().map(|(stream, at)| (stream.to_string(), *at)).collect();
        let follows_log = net.guards(Guard::FollowLog) || self.version.is_none();
        if let Some(it) = self.replica.request().filter(|_| follows_log) {
            wanted.push((it.stream.to_owned(), it.from));
        }
        for (stream, at) in wanted {
            if self.reading.insert(stream.clone()) {
                let from = self.node();
                net.send(Node::Log, HOP, Message::Read { from, stream, at });
            }
        }
    }

    pub(super) fn records(&mut self, stream: &str, page: Option<Page>, net: &mut Net) {
        self.reading.remove(stream);
        self.event(Event::Log { up: page.is_some() }, net);
        let Some(page) = page else { return self.ask_for_snapshots(net) };
        let followed = self.follows.keys().find(|it| it.to_string() == stream).copied();
        match followed {
            Some(it) => self.read_orders(it, page, net),
            None if self.replica.request().is_some_and(|it| it.stream == stream) => {
                self.read_document(stream, &page, net);
            }
            None => {}
        }
    }

    fn read_orders(&mut self, stream: Stream, page: Page, net: &mut Net) {
        for (offset, record) in page.records {
            let expected = self.follows.get_mut(&stream).filter(|it| **it == offset);
            let Some(expected) = expected else { continue };
            *expected = offset + 1;
            if !self.hides(stream, &record, net) {
                self.event(Event::Read { stream, offset, record }, net);
            }
        }
    }

    fn read_document(&mut self, stream: &str, page: &Page, net: &mut Net) {
        if stream == publication::STREAM && self.version.is_some() && !page.records.is_empty() {
            net.reach(Step::PublicationRead, self.number, None);
        }
        let progress = self.replica.apply_page(0, page.next, &page.records);
        self.put_in_force(net);
        if !progress.should_wait {
            self.poll(net);
        }
    }

    pub(super) fn ask_for_snapshots(&self, net: &mut Net) {
        for other in (0..HOSTS).filter(|it| *it != self.number) {
            let request = Message::SnapshotRequest { from: self.node() };
            net.send_peer(self.number, net.host(other), request);
        }
    }

    pub(super) fn send_snapshot(&self, to: Node, net: &mut Net) {
        if self.version.is_some() {
            let record = document::snapshot::encode(self.replica.fold(), 0);
            let leaving = self.shedding.clone();
            net.send_peer(self.number, to, Message::Snapshot { record, leaving });
        }
    }

    pub(super) fn offer_snapshot(&mut self, record: &[u8], net: &mut Net) {
        if !net.guards(Guard::NoRevert) {
            self.replica = Replica::default();
        }
        if self.replica.adopt_snapshot(record).unwrap_or(false) {
            self.put_in_force(net);
        }
    }

    fn put_in_force(&mut self, net: &mut Net) {
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
        self.follow_gate(&events, net);
        self.refresh_capacity(net);
        if let member::Lifecycle::Starting(it) = self.stage {
            self.stage = member::Lifecycle::Ready(it.ready());
        }
        // Members count versions from 1, so that 0 stands for none.
        self.table.set_version(version + 1);
        self.tell_phase(self.stage.phase(), net);
        let live = net.live();
        net.ledger.in_force(self.number, version, &live, net.now);
        if version > 0 && !is_first {
            net.reach(Step::PublicationInForce, self.number, None);
        }
        if is_first && self.number == HOSTS - 1 {
            net.reach(Step::HostReady, self.number, None);
        }
    }
}
