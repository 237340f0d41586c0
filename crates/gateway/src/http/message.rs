//! Complete messages, read incrementally.

use bytes::{Bytes, BytesMut};

use super::{Body, Head, Result, Search};
use crate::memory::{Account, Kind};

/// A complete request or answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Head of the message.
    pub head: Head,
    /// Complete body.
    pub body: Bytes,
}

/// Reads consecutive requests from the bytes of a connection.
#[derive(Debug, Default)]
pub struct Reader {
    account: Account,
    search: Search,
    partial: Option<(Head, Body)>,
}

impl Reader {
    /// Creates a reader whose bodies are counted in `account`.
    #[must_use]
    pub fn new(account: Account) -> Self {
        Self { account, ..Self::default() }
    }

    /// Takes the next complete request from the front of `buffer`; returns `None` if it is
    /// incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the request is malformed or exceeds a limit. Nothing after it can be read then.
    pub fn next(
        &mut self,
        buffer: &mut BytesMut,
        head_limit: usize,
        body_limit: usize,
    ) -> Result<Option<Message>> {
        if self.partial.is_none() {
            let head = Head::continue_request(&mut self.search, buffer, head_limit)?;
            let Some(head) = head else { return Ok(None) };
            let charge = self.account.charge(Kind::Requests);
            let body = Body::counted(head.request_framing()?, body_limit, charge)?;
            self.partial = Some((head, body));
        }
        let Some((head, mut body)) = self.partial.take() else { return Ok(None) };
        if body.feed(buffer)? {
            return Ok(Some(Message { head, body: body.into_bytes() }));
        }
        self.partial = Some((head, body));
        Ok(None)
    }

    /// Bytes of memory in use for the head of the request whose body is being read.
    #[must_use]
    pub fn held_by_head(&self) -> usize {
        self.partial.as_ref().map_or(0, |(head, _)| head.held())
    }

    /// The body that is being read.
    #[must_use]
    pub fn partial(&self) -> Option<&Body> {
        self.partial.as_ref().map(|(_, body)| body)
    }
}
