//! Authors of publications.

use std::time::Duration;

use document::{Publication, publication};

use super::{
    message::{Append, Endpoint, Message, Token},
    network::{MESSAGE_DELAY, Network},
    step::Step,
};

/// Interval at which a failed read or append is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time between reading the document and publishing the change.
const EDIT_TIME: Duration = Duration::from_millis(100);

/// An author of publications.
pub(super) struct Author {
    number: usize,
    edits: u32,
    publication: Option<Publication>,
}

impl Author {
    pub(super) fn new(number: usize) -> Self {
        Self { number, edits: 0, publication: None }
    }

    pub(super) fn handle(&mut self, message: &Message, net: &mut Network) {
        match *message {
            Message::Edit => self.edit(net),
            Message::Publish => self.publish(net),
            Message::Appended { append: Append::Done, .. } => self.publication = None,
            Message::Appended { .. } => {
                net.send(Endpoint::Author(self.number), RETRY_INTERVAL, Message::Publish);
            }
            _ => {}
        }
    }

    /// Reads the document and prepares a change to a section that all authors change.
    fn edit(&mut self, net: &mut Network) {
        if net.log_down_until > net.now || self.publication.is_some() {
            return net.send(Endpoint::Author(self.number), RETRY_INTERVAL, Message::Edit);
        }
        self.edits += 1;
        let floor = 5 + 5 * self.number + self.edits as usize;
        let text = format!("[rank bulk]\norder = 2\nfloor_percent = {floor}");
        self.publication = Some(Publication {
            id: format!("p{}.{}", self.number, self.edits).into(),
            author: "ops".into(),
            base: net.ledger.reference().end(),
            made_at_s: 0,
            note: String::new(),
            changes: vec![publication::Change::Set { text }],
        });
        if self.number == 0 {
            net.reach(Step::PublicationEdit, 0, None);
        }
        net.send(Endpoint::Author(self.number), EDIT_TIME, Message::Publish);
    }

    fn publish(&mut self, net: &mut Network) {
        let Some(publication) = &self.publication else { return };
        if self.number == 0 {
            net.reach(Step::PublicationAppend, 0, None);
        }
        let (from, stream) = (Endpoint::Author(self.number), publication::STREAM.to_owned());
        let record = publication.encode().into();
        let append = Message::Append { from, token: Token::Publication, stream, record };
        net.send(Endpoint::Log, MESSAGE_DELAY, append);
    }
}
