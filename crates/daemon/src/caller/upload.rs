//! Request bodies that are finished even if the request is answered without them.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::oneshot;

/// Size up to which the rest of a body is read to keep its connection usable, in bytes.
const MAX_REST_BYTES: u64 = 64 << 10;
/// Time for the rest of a body to arrive; a caller sends a small one right behind its head.
const REST_TIMEOUT: Duration = Duration::from_millis(100);

/// Body of a request. If it is dropped before its end, the rest goes to a [`Remainder`].
#[derive(Debug)]
pub struct Upload {
    body: Option<Incoming>,
    unread: Option<oneshot::Sender<Incoming>>,
}

impl Upload {
    /// Wraps the body of a request.
    #[must_use]
    pub fn new(body: Incoming) -> (Self, Remainder) {
        let (unread, rest) = oneshot::channel();
        let is_empty = body.is_end_stream();
        let body = (!is_empty).then_some(body);
        (Self { body, unread: Some(unread) }, Remainder { rest })
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else { return Poll::Ready(None) };
        let res = std::task::ready!(Pin::new(body).poll_frame(cx));
        if res.is_none() {
            self.body = None;
        }
        Poll::Ready(res)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map_or_else(|| SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let (Some(body), Some(unread)) = (self.body.take(), self.unread.take())
            && !body.is_end_stream()
        {
            // The connection no longer waits for the rest if it has been closed.
            drop(unread.send(body));
        }
    }
}

/// The part of a request's body that its handler did not read.
#[derive(Debug)]
pub struct Remainder {
    rest: oneshot::Receiver<Incoming>,
}

impl Remainder {
    /// Whether the handler has read the whole body. Must be called after the handler has dropped
    /// the body.
    #[must_use]
    pub fn is_empty(mut self) -> bool {
        self.rest.try_recv().is_err()
    }

    /// Reads a small rest to its end. Returns whether the body is complete, so that the connection
    /// can carry another request. Must be called after the handler has dropped the body.
    pub async fn finish(mut self) -> bool {
        let Ok(mut body) = self.rest.try_recv() else { return true };
        let is_small = body.size_hint().exact().is_some_and(|it| it <= MAX_REST_BYTES);
        if !is_small {
            return false;
        }
        let read = async {
            while let Some(frame) = body.frame().await {
                frame?;
            }
            Ok::<_, hyper::Error>(())
        };
        matches!(tokio::time::timeout(REST_TIMEOUT, read).await, Ok(Ok(())))
    }
}
