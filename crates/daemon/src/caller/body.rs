//! Bodies buffered in memory, and the budget that bounds their total size.

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
/// Bodies up to this size don't count towards the budget; the connection limit bounds their number.
pub const SMALL_BODY_BYTES: u64 = 64 * 1024;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    /// The sender closed the connection or violated the framing before the end.
    #[error("the body was cut off before its end")]
    Truncated,
    /// The body, or memory to hold it, did not arrive before the deadline.
    #[error("the body did not arrive in time")]
    Timeout,
}

/// Result of reading a body.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Memory budget for the buffered bodies of one direction, shared by all requests.
#[derive(Clone, Debug)]
pub struct Budget {
    units: Arc<Semaphore>,
    capacity: u32,
}

impl Budget {
    /// Creates a budget of `bytes` bytes, rounded down to whole KiB.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        let capacity = u32::try_from(bytes / BUDGET_UNIT_BYTES).unwrap_or(u32::MAX >> 3);
        Self { units: Arc::new(Semaphore::new(capacity as usize)), capacity }
    }

    /// Reads a whole body of at most `limit` bytes, and at most the budget, before `deadline`.
    ///
    /// Memory for a body of unknown length is reserved up to the limit before the first byte is
    /// read; otherwise two partly read bodies could deadlock waiting for each other's memory.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large, truncated or not read before the deadline.
    pub async fn read<B>(&self, body: B, limit: u64, deadline: Instant) -> Result<Buffered>
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
            Ok(Buffered { bytes, permit })
        };
        tokio::time::timeout_at(deadline.into(), reading).await.unwrap_or(Err(Error::Timeout))
    }

    async fn reserve(&self, bytes: u64) -> Option<OwnedSemaphorePermit> {
        if bytes <= SMALL_BODY_BYTES {
            return None;
        }
        let units = u32::try_from(bytes.div_ceil(BUDGET_UNIT_BYTES)).unwrap_or(self.capacity);
        Arc::clone(&self.units).acquire_many_owned(units).await.ok()
    }
}

/// A complete body in memory, with its share of the budget.
#[derive(Debug)]
pub struct Buffered {
    /// The bytes of the body.
    pub bytes: Bytes,
    permit: Option<OwnedSemaphorePermit>,
}

impl From<Bytes> for Buffered {
    /// Creates a body outside the budget; the owner of the bytes bounds their size.
    fn from(bytes: Bytes) -> Self {
        Self { bytes, permit: None }
    }
}

impl Buffered {
    /// Converts to the body of a reply, which releases its share of the budget when it is sent.
    #[must_use]
    pub fn into_reply_body(self) -> ReplyBody {
        ReplyBody { full: Full::new(self.bytes), _permit: self.permit }
    }
}

/// The body of a reply, complete in memory.
#[derive(Debug)]
pub struct ReplyBody {
    full: Full<Bytes>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl From<Full<Bytes>> for ReplyBody {
    fn from(full: Full<Bytes>) -> Self {
        Self { full, _permit: None }
    }
}

impl Body for ReplyBody {
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

/// Reads a body into one allocation of the reserved size, so that it is never in memory twice.
async fn collect<B>(body: B, reserved: u64, limit: u64) -> Result<Bytes>
where
    B: Body<Data = Bytes>,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let mut body = std::pin::pin!(body);
    let mut res = BytesMut::with_capacity(usize::try_from(reserved).unwrap_or(limit));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_broken| Error::Truncated)?.into_data() else { continue };
        if res.len() + data.len() > limit {
            return Err(Error::TooLarge(limit as u64));
        }
        res.extend_from_slice(&data);
    }
    Ok(res.freeze())
}
