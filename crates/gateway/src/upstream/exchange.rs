//! One request and its answer on a connection.

use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::{Link, Result};
use crate::http::{Body, Head, Message};

/// Largest head of an answer, in bytes.
const HEAD_LIMIT: usize = 64 << 10;
/// Largest body of an answer, in bytes.
const BODY_LIMIT: usize = 64 << 20;
/// Answers to other requests that are passed over before a connection is given up.
const MAX_FOREIGN: usize = 4;
/// Stands for the bytes written once the connection takes no more.
const NO_MORE: usize = usize::MAX;

/// Why an exchange brought no whole answer; the request may have run.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// No byte was written, so the request can't have run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The bytes received are no whole answer to this request.
    #[error("garbled answer: {0}")]
    Garbled(String),
}

/// A whole answer and what is left of its connection.
#[derive(Debug)]
pub struct Answered {
    /// The answer.
    pub message: Message,
    /// The connection, if it can carry another request.
    pub link: Option<Link>,
    /// How long the upstream keeps the connection idle, if it said so.
    pub keep_time: Option<Duration>,
}

/// One request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Exchange<'a> {
    /// Bytes of the request.
    pub bytes: &'a [u8],
    /// Its method, on which the framing of the answer depends.
    pub method: &'a [u8],
    /// Name of the header that identifies requests.
    pub id_name: &'a str,
    /// Id of this request; an answer with another one is passed over.
    pub id: Option<&'a Bytes>,
}

impl Exchange<'_> {
    /// Sends the request and reads its whole answer.
    ///
    /// Dropping the future closes the connection, which cancels the work.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the bytes received are no answer to this request.
    pub async fn run(self, mut link: Link) -> Result<Answered> {
        let mut written = 0;
        let mut foreign = 0;
        let mut partial: Option<(Head, Body)> = None;
        loop {
            if let Some((head, body)) = self.advance(&mut link, &mut partial)? {
                let is_own = self.is_own(&head);
                if head.status < 200 || !is_own && foreign < MAX_FOREIGN {
                    foreign += usize::from(!is_own);
                    continue;
                }
                if !is_own {
                    return Err(Failure::Garbled("answer to another request".to_owned()));
                }
                let is_reusable = written == self.bytes.len()
                    && link.buffer.is_empty()
                    && head.keeps_connection()
                    && !body.ends_with_connection();
                let keep_time = keep_time(&head);
                let message = Message { head, body: body.into_bytes() };
                return Ok(Answered { message, link: is_reusable.then_some(link), keep_time });
            }
            let unwritten = self.bytes.get(written..).unwrap_or_default();
            let Link { stream, buffer, .. } = &mut link;
            let (mut reader, mut writer) = stream.split();
            tokio::select! {
                res = reader.read_buf(buffer) => match res {
                    Ok(0) => return self.end(&link, partial),
                    Ok(_) => {}
                    Err(e) => return Err(Failure::Broken(e.to_string())),
                },
                res = writer.write(unwritten), if !unwritten.is_empty() => match res {
                    Ok(count) => written += count,
                    // An answer that came before the upstream closed is still read.
                    Err(_) if written > 0 => written = NO_MORE,
                    Err(e) => return Err(Failure::NotSent(e.to_string())),
                },
            }
        }
    }

    /// Reads on in the bytes received; gives an answer once it is whole.
    fn advance(
        self,
        link: &mut Link,
        partial: &mut Option<(Head, Body)>,
    ) -> Result<Option<(Head, Body)>> {
        if partial.is_none() {
            if link.buffer.is_empty() {
                return Ok(None);
            }
            let head = Head::take_answer(&mut link.buffer, HEAD_LIMIT).map_err(garbled)?;
            let Some(head) = head else { return Ok(None) };
            let framing = head.answer_framing(self.method).map_err(garbled)?;
            *partial = Some((head, Body::new(framing, BODY_LIMIT).map_err(garbled)?));
        }
        let Some((_, body)) = partial else { return Ok(None) };
        if body.feed(&mut link.buffer).map_err(garbled)? {
            return Ok(partial.take());
        }
        Ok(None)
    }

    /// The answer, if the end of the connection completes it.
    fn end(self, link: &Link, partial: Option<(Head, Body)>) -> Result<Answered> {
        match partial {
            Some((head, body)) if body.ends_with_connection() && self.is_own(&head) => {
                let message = Message { head, body: body.into_bytes() };
                Ok(Answered { message, link: None, keep_time: None })
            }
            Some(_) => Err(Failure::Garbled("answer that ends early".to_owned())),
            None if link.buffer.is_empty() => Err(Failure::Broken("closed".to_owned())),
            None => Err(Failure::Garbled("head that ends early".to_owned())),
        }
    }

    /// Whether an answer belongs to this request. A refusal may come without an id.
    fn is_own(self, head: &Head) -> bool {
        match (head.get(self.id_name), self.id) {
            (Some(got), Some(sent)) => got == sent,
            (Some(_), None) => false,
            (None, _) => true,
        }
    }
}

// The error is handed over by `map_err`.
#[expect(clippy::needless_pass_by_value)]
fn garbled(e: crate::http::Error) -> Failure {
    Failure::Garbled(e.to_string())
}

fn keep_time(head: &Head) -> Option<Duration> {
    let options = head.text("keep-alive")?.split(',').map(str::trim);
    let seconds = options.into_iter().find_map(|it| it.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
