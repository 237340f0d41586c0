//! Bodies held in memory, and the budget that bounds how many bytes are held at once.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Instant,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Unit of the memory budget, in bytes.
const BUDGET_UNIT_BYTES: u64 = 1024;
/// Bodies up to this size are held outside the budget; the connection limit bounds their number.
pub const SMALL_BODY_BYTES: u64 = 64 * 1024;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    /// The sender closed the connection or broke the framing before the end.
    #[error("the body was cut off before its end")]
    Cut,
    /// The body, or memory to hold it, did not arrive before the deadline.
    #[error("the body did not arrive in time")]
    Late,
}

/// A body, or why it could not be read.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Bytes of one direction that all requests together may hold.
#[derive(Clone, Debug)]
pub struct Budget {
    units: Arc<Semaphore>,
    capacity: u32,
}

impl Budget {
    /// A budget of `bytes` bytes, rounded down to whole KiB.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        let capacity = u32::try_from(bytes / BUDGET_UNIT_BYTES).unwrap_or(u32::MAX >> 3);
        Self { units: Arc::new(Semaphore::new(capacity as usize)), capacity }
    }

    /// Reads a whole body of at most `limit` bytes, and no more than the budget, before `deadline`.
    ///
    /// Memory for a body of unknown length is reserved up to the limit before the first byte is
    /// read, so that two half-read bodies can't wait for each other.
    ///
    /// # Errors
    ///
    /// [`Error`] tells a body that is too large from one that was cut off or late.
    pub async fn read<B>(&self, body: B, limit: u64, deadline: Instant) -> Result<Held>
    where
        B: Body<Data = Bytes>,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let limit = limit.min(u64::from(self.capacity) * BUDGET_UNIT_BYTES);
        let reserved = body.size_hint().exact().unwrap_or(limit);
        if reserved > limit {
            return Err(Error::TooLarge(limit));
        }
        let reading = async {
            let permit = self.reserve(reserved).await;
            let bytes = collect(body, reserved, limit).await?;
            Ok(Held { bytes, permit })
        };
        tokio::time::timeout_at(deadline.into(), reading).await.unwrap_or(Err(Error::Late))
    }

    async fn reserve(&self, bytes: u64) -> Option<OwnedSemaphorePermit> {
        if bytes <= SMALL_BODY_BYTES {
            return None;
        }
        let units = u32::try_from(bytes.div_ceil(BUDGET_UNIT_BYTES)).unwrap_or(self.capacity);
        Arc::clone(&self.units).acquire_many_owned(units).await.ok()
    }
}

/// A body that was read to its end.
#[derive(Debug)]
pub struct Held {
    /// The bytes of the body.
    pub bytes: Bytes,
    permit: Option<OwnedSemaphorePermit>,
}

impl From<Bytes> for Held {
    /// A body outside of the budget; whoever keeps the bytes bounds them.
    fn from(bytes: Bytes) -> Self {
        Self { bytes, permit: None }
    }
}

impl Held {
    /// Turns the held bytes into the body of a reply; the budget is returned when it is sent.
    #[must_use]
    pub fn into_whole(self) -> Whole {
        Whole { full: Full::new(self.bytes), _permit: self.permit }
    }
}

/// The body of a reply, complete in memory.
#[derive(Debug)]
pub struct Whole {
    full: Full<Bytes>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl From<Full<Bytes>> for Whole {
    fn from(full: Full<Bytes>) -> Self {
        Self { full, _permit: None }
    }
}

impl Body for Whole {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.full).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.full.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.full.size_hint()
    }
}

/// Reads a body into one piece of memory of the reserved size, so that it is held only once.
async fn collect<B>(body: B, reserved: u64, limit: u64) -> Result<Bytes>
where
    B: Body<Data = Bytes>,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let mut body = std::pin::pin!(body);
    let mut res = BytesMut::with_capacity(usize::try_from(reserved).unwrap_or(limit));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_broken| Error::Cut)?.into_data() else { continue };
        if res.len() + data.len() > limit {
            return Err(Error::TooLarge(limit as u64));
        }
        res.extend_from_slice(&data);
    }
    Ok(res.freeze())
}
