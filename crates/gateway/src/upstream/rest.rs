//! The rest of a request that was answered before all of it was written.

use std::{io, time::Instant};

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::Connection;

/// The rest of a request that was answered before all of it was written, and its connection.
#[derive(Debug)]
pub struct Rest {
    pub(super) connection: Connection,
    pub(super) bytes: Bytes,
}

impl Rest {
    /// Writes the rest and waits until the upstream closes the connection, at most until `until`. Nothing
    /// else is sent on the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the time is over before all is written.
    pub async fn send(mut self, until: Instant) -> io::Result<()> {
        let stream = &mut self.connection.stream;
        tokio::time::timeout_at(until.into(), stream.write_all(&self.bytes)).await??;
        // What is written may not have been received yet.
        let mut byte = [0];
        let closing = tokio::time::timeout_at(until.into(), stream.read(&mut byte));
        // The upstream closes the connection, breaks it or keeps it until the end.
        let _ended = closing.await;
        Ok(())
    }
}
