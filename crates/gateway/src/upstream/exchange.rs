//! A request and its answer on a connection.

use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::{Connection, Memory, Rest, Result, Share};
use crate::{
    http::{self, Body, Head, Message},
    memory::Kind,
};

/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of interim answers (status 1xx) to a request.
const MAX_INTERIM: usize = 16;
/// Status that ends HTTP on the connection. `Upgrade` headers are not forwarded to upstreams.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Number of answers to other requests that are skipped before the exchange fails.
const MAX_MISMATCHED: usize = 4;
/// Number of times that an answer waits for memory that others give up, and the pause between them.
const MEMORY_WAITS: u32 = 10;
const MEMORY_PAUSE: Duration = Duration::from_millis(10);
/// Time after the end of a connection within which a reset is awaited. The upstream sends it when the
/// bytes reach it that were on their way, so a round trip within a data center is enough.
const RESET_TIMEOUT: Duration = Duration::from_millis(5);

/// Why an exchange gave no complete answer. Except for [`Self::NotSent`], the request may have run.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// No byte was written, so the request can't have run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The bytes received are not a complete answer to this request.
    #[error("garbled answer: {0}")]
    Malformed(String),
}

/// A complete answer and its connection.
#[derive(Debug)]
pub struct Completed {
    /// The answer.
    pub message: Message,
    /// The connection, if it can be reused.
    pub connection: Option<Connection>,
    /// Time for which the upstream keeps the connection open, from its `Keep-Alive` header.
    pub keep_alive: Option<Duration>,
    /// The rest of the request, if the upstream has answered before it has read all of it and keeps the
    /// connection: it may read on later.
    pub rest: Option<Rest>,
}

/// A request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Exchange<'a> {
    /// The serialized head of the request.
    pub head: &'a [u8],
    /// The body of the request.
    pub body: &'a Bytes,
    /// Its method, which determines the framing of the answer.
    pub method: &'a [u8],
    /// Name of the header that identifies requests.
    pub id_name: &'a str,
    /// Id of this request; an answer with another id is skipped.
    pub id: Option<&'a Bytes>,
    /// Maximum size of the body of the answer, in bytes.
    pub body_limit: usize,
    /// Memory that answers may use.
    pub memory: &'a Memory,
}

impl Exchange<'_> {
    /// Sends the request and reads its complete answer.
    ///
    /// Dropping the future closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the bytes received are not an answer to this request.
    pub async fn run(self, mut connection: Connection) -> Result<Completed> {
        // Body and head are written without a copy.
        let mut unwritten = Buf::chain(self.head, &**self.body);
        let length = unwritten.remaining();
        let mut is_writable = true;
        let (mut mismatched, mut interim) = (0, 0);
        let mut share = self.memory.share();
        let mut partial: Option<(Head, Body)> = None;
        loop {
            if let Some((head, body)) = self.parse(&mut connection, &mut partial)? {
                let is_own_answer = self.is_own_answer(&head);
                if head.status == SWITCHING_PROTOCOLS {
                    return Err(Failure::Malformed("upgrade without a request for it".to_owned()));
                }
                if head.status < 200 && interim < MAX_INTERIM {
                    interim += 1;
                    continue;
                }
                if head.status < 200 {
                    return Err(Failure::Malformed("too many interim answers".to_owned()));
                }
                if !is_own_answer && mismatched < MAX_MISMATCHED {
                    mismatched += 1;
                    continue;
                }
                if !is_own_answer {
                    return Err(Failure::Malformed("answer to another request".to_owned()));
                }
                let is_kept = connection.buffer.is_empty()
                    && head.keeps_connection()
                    && !body.ends_with_connection();
                connection.buffer = BytesMut::new();
                let keep_alive = keep_alive(&head);
                let message = Message { head, body: body.into_bytes() };
                let (connection, rest) = match (is_kept, unwritten.remaining()) {
                    (true, 0) => (Some(connection), None),
                    (true, bytes) if bytes <= self.body.len() => {
                        let bytes = self.body.slice(self.body.len() - bytes..);
                        (None, Some(Rest { connection, bytes }))
                    }
                    _ => (None, None),
                };
                return Ok(Completed { message, connection, keep_alive, rest });
            }
            let Connection { stream, buffer, .. } = &mut connection;
            http::reserve(buffer, partial.is_some());
            let body_bytes = partial.as_ref().map_or(0, |(_, body)| body.held());
            self.await_memory(&mut share, buffer.capacity(), body_bytes).await?;
            let (mut reader, mut writer) = stream.split();
            tokio::select! {
                res = reader.read_buf(buffer) => match res {
                    Ok(0) => {
                        let is_sent = !unwritten.has_remaining();
                        return self.finish_at_close(&connection, partial, is_sent).await;
                    }
                    Ok(_) => {}
                    Err(e) => return Err(Failure::Broken(e.to_string())),
                },
                res = writer.write_buf(&mut unwritten),
                    if is_writable && unwritten.has_remaining() =>
                {
                    match res {
                        Ok(_) => {}
                        Err(e) if unwritten.remaining() == length => {
                            return Err(Failure::NotSent(e.to_string()));
                        }
                        // The upstream may have answered before it closed the connection.
                        Err(_) => is_writable = false,
                    }
                }
            }
        }
    }

    /// Counts the bytes read ahead and waits until the answer may grow, since others give memory up.
    async fn await_memory(
        self,
        share: &mut Share,
        buffer_bytes: usize,
        body_bytes: usize,
    ) -> Result<()> {
        let account = self.memory.account();
        let mut waits = 0;
        while !share.resize(buffer_bytes) || !self.memory.allows_answer(body_bytes) {
            if waits == MEMORY_WAITS {
                return Err(Failure::Malformed("answers use up the memory for them".to_owned()));
            }
            waits += 1;
            let excess = account.used().saturating_sub(account.limit());
            self.memory.relieve(Instant::now(), excess, None);
            tokio::time::sleep(MEMORY_PAUSE).await;
        }
        Ok(())
    }

    /// Parses the bytes received; returns an answer once it is complete.
    fn parse(
        self,
        connection: &mut Connection,
        partial: &mut Option<(Head, Body)>,
    ) -> Result<Option<(Head, Body)>> {
        if partial.is_none() {
            if connection.buffer.is_empty() {
                return Ok(None);
            }
            let Connection { buffer, search, .. } = connection;
            let head = Head::continue_answer(search, buffer, MAX_HEAD_BYTES).map_err(malformed)?;
            let Some(head) = head else { return Ok(None) };
            let framing = head.answer_framing(self.method).map_err(malformed)?;
            let charge = self.memory.account().charge(Kind::Answers);
            let body = Body::counted(framing, self.body_limit, charge).map_err(malformed)?;
            *partial = Some((head, body));
        }
        let Some((_, body)) = partial else { return Ok(None) };
        if body.feed(&mut connection.buffer).map_err(malformed)? {
            return Ok(partial.take());
        }
        Ok(None)
    }

    /// The answer, if the end of the connection completes it; `is_sent` says whether the request has
    /// been written whole.
    ///
    /// Without a length, an orderly end is not enough: an upstream that closes the connection while it
    /// is sent the request ends it in order, and resets it when the next byte of the request arrives.
    /// A read returns 0 bytes in both cases.
    async fn finish_at_close(
        self,
        connection: &Connection,
        partial: Option<(Head, Body)>,
        is_sent: bool,
    ) -> Result<Completed> {
        match partial {
            Some((_, body)) if body.ends_with_connection() && !is_sent => {
                Err(Failure::Broken("closed before the request was sent".to_owned()))
            }
            Some((_, body)) if body.ends_with_connection() && self.is_reset(connection).await => {
                Err(Failure::Broken("reset behind its end".to_owned()))
            }
            Some((head, body)) if body.ends_with_connection() && self.is_own_answer(&head) => {
                let message = Message { head, body: body.into_bytes() };
                Ok(Completed { message, connection: None, keep_alive: None, rest: None })
            }
            Some(_) => Err(Failure::Malformed("answer that ends early".to_owned())),
            None if connection.buffer.is_empty() => Err(Failure::Broken("closed".to_owned())),
            None => Err(Failure::Malformed("head that ends early".to_owned())),
        }
    }

    /// Whether a reset follows the orderly end of the connection: the upstream has not read the whole
    /// request. One without a body is so short that it arrives at once.
    async fn is_reset(self, connection: &Connection) -> bool {
        if self.body.is_empty() {
            return false;
        }
        tokio::time::sleep(RESET_TIMEOUT).await;
        connection.has_error()
    }

    /// Whether an answer belongs to this request. One without an id may be a late copy of the answer
    /// to an earlier health check.
    fn is_own_answer(self, head: &Head) -> bool {
        head.get(self.id_name) == self.id
    }
}

// Used with `map_err`, which passes the error by value.
#[expect(clippy::needless_pass_by_value)]
fn malformed(e: http::Error) -> Failure {
    Failure::Malformed(e.to_string())
}

fn keep_alive(head: &Head) -> Option<Duration> {
    let options = head.text("keep-alive")?.split(',').map(str::trim);
    let seconds = options.into_iter().find_map(|it| it.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
