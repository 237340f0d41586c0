//! The platform's append-only log.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use document::{Publication, publication};

use super::{
    guard::Guard,
    message::{Append, Message, Node, Page, Token},
    net::{HOP, Net},
    step::Step,
};

/// Delay of a slow log.
const SLOW: Duration = Duration::from_millis(700);
/// Time after which a client gives up on an answer.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Most records of one page.
const PAGE: usize = 256;

/// The platform's append-only log; it keeps everything.
#[derive(Default)]
pub(super) struct Log {
    streams: BTreeMap<String, Vec<Bytes>>,
}

impl Log {
    pub(super) fn take(&mut self, message: Message, net: &mut Net) {
        let delay = if net.log_slow > net.now { SLOW } else { HOP };
        let is_down = net.log_down > net.now;
        match message {
            Message::Append { from, token, stream, record } => {
                let append = if is_down {
                    Append::Refused
                } else {
                    self.append(&stream, record, net);
                    if net.log_loses > net.now { Append::Unknown } else { Append::Done }
                };
                let delay = if append == Append::Unknown { TIMEOUT } else { delay };
                net.send(from, delay, Message::Appended { token, append });
                reach_appended(token, from, net);
            }
            Message::Read { from, stream, at } => {
                let page = (!is_down).then(|| self.read(&stream, at));
                net.send(from, delay, Message::Records { stream, page });
            }
            _ => {}
        }
    }

    pub(super) fn append(&mut self, stream: &str, record: Bytes, net: &mut Net) {
        let mut record = record;
        if stream == publication::STREAM {
            let read_to = Publication::decode(&record).map_or(0, |it| it.base);
            if !net.guards(Guard::EditBase) {
                record = rebase(&record, net.ledger.truth().end());
            }
            net.ledger.published(&record, read_to, net.now);
        }
        self.streams.entry(stream.to_owned()).or_default().push(record);
    }

    fn read(&self, stream: &str, at: u64) -> Page {
        let records = self.streams.get(stream).map(Vec::as_slice).unwrap_or_default();
        let end = records.len() as u64;
        let from = usize::try_from(at).unwrap_or(usize::MAX).min(records.len());
        let numbered = records.iter().enumerate().skip(from).take(PAGE);
        let records: Vec<_> = numbered.map(|(it, record)| (it as u64, record.clone())).collect();
        let next = records.last().map_or(end, |(it, _)| it + 1);
        Page { next, records }
    }
}

fn reach_appended(token: Token, from: Node, net: &mut Net) {
    match (token, from) {
        (Token::Publication, Node::Author(0)) => net.reach(Step::PublicationAppended, 0, None),
        (Token::Batch { is_tagged: true, .. }, Node::Host(host, _)) => {
            net.reach(Step::OrderAppended, host, None);
        }
        _ => {}
    }
}

/// The publication as if its author had read everything.
fn rebase(record: &[u8], base: u64) -> Bytes {
    match Publication::decode(record) {
        Ok(it) => Publication { base, ..it }.encode().into(),
        Err(_) => Bytes::copy_from_slice(record),
    }
}
