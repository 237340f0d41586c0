//! The body of an answer, complete or truncated.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// The body of an answer, complete or truncated.
pub(super) struct Answer {
    data: Option<Bytes>,
    stated_bytes: u64,
    end: End,
}

/// How the body ends after the data.
enum End {
    Complete,
    /// With an error, after the data was flushed.
    Truncated {
        flushed: bool,
    },
}

impl Answer {
    /// A complete body.
    pub(super) fn complete(data: Bytes) -> Self {
        Self { stated_bytes: data.len() as u64, data: Some(data), end: End::Complete }
    }

    /// A body whose first half is sent before the connection ends.
    pub(super) fn truncated(data: &Bytes) -> Self {
        let stated_bytes = data.len() as u64;
        Self {
            data: Some(data.slice(..data.len() / 2)),
            stated_bytes,
            end: End::Truncated { flushed: false },
        }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(it) = self.data.take().filter(|it| !it.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(it))));
        }
        match &mut self.end {
            End::Complete => Poll::Ready(None),
            End::Truncated { flushed: true } => {
                Poll::Ready(Some(Err(io::Error::other("answer truncated"))))
            }
            End::Truncated { flushed } => {
                *flushed = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.data.as_ref().is_none_or(Bytes::is_empty) && matches!(self.end, End::Complete)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.stated_bytes)
    }
}
