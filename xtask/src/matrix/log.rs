//! The platform's append-only log, simulated.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use document::{Publication, publication};

use super::{
    guard::Guard,
    message::{Append, Endpoint, Message, Page, Token},
    network::{MESSAGE_DELAY, Network},
    step::Step,
};

/// Delay of answers while the log is slow.
const SLOW_DELAY: Duration = Duration::from_millis(700);
/// Time-out of clients that wait for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of records in a page.
const PAGE_LIMIT: usize = 256;

/// The platform's append-only log, without retention.
#[derive(Default)]
pub(super) struct Log {
    streams: BTreeMap<String, Vec<Bytes>>,
}

impl Log {
    pub(super) fn handle(&mut self, message: Message, net: &mut Network) {
        let delay = if net.log_slow_until > net.now { SLOW_DELAY } else { MESSAGE_DELAY };
        let is_down = net.log_down_until > net.now;
        match message {
            Message::Append { from, token, stream, record } => {
                let append = if is_down {
                    Append::Refused
                } else {
                    self.append(&stream, record, net);
                    if net.log_losing_answers_until > net.now {
                        Append::Unknown
                    } else {
                        Append::Done
                    }
                };
                let delay = if append == Append::Unknown { CLIENT_TIMEOUT } else { delay };
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

    pub(super) fn append(&mut self, stream: &str, record: Bytes, net: &mut Network) {
        let mut record = record;
        if stream == publication::STREAM {
            let read_to = Publication::decode(&record).map_or(0, |it| it.base);
            if !net.has_guard(Guard::EditBase) {
                record = rebase(&record, net.ledger.reference().end());
            }
            net.ledger.record_publication(&record, read_to, net.now);
        }
        self.streams.entry(stream.to_owned()).or_default().push(record);
    }

    fn read(&self, stream: &str, at: u64) -> Page {
        let records = self.streams.get(stream).map(Vec::as_slice).unwrap_or_default();
        let end = records.len() as u64;
        let from = usize::try_from(at).unwrap_or(usize::MAX).min(records.len());
        let numbered = records.iter().enumerate().skip(from).take(PAGE_LIMIT);
        let records: Vec<_> = numbered.map(|(it, record)| (it as u64, record.clone())).collect();
        let next = records.last().map_or(end, |(it, _)| it + 1);
        Page { next, records }
    }
}

fn reach_appended(token: Token, from: Endpoint, net: &mut Network) {
    match (token, from) {
        (Token::Publication, Endpoint::Author(0)) => net.reach(Step::PublicationAppended, 0, None),
        (Token::Batch { is_marked: true, .. }, Endpoint::Host(host, _)) => {
            net.reach(Step::OrderAppended, host, None);
        }
        _ => {}
    }
}

/// The publication with the base that it would have if its author had read the whole log.
fn rebase(record: &[u8], base: u64) -> Bytes {
    match Publication::decode(record) {
        Ok(it) => Publication { base, ..it }.encode().into(),
        Err(_) => Bytes::copy_from_slice(record),
    }
}
