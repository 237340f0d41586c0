//! The slot of a request, or its place in the queue.

use std::{sync::Arc, time::Duration};

use admission::RequestId;

use crate::service::Service;

/// The slot of a request, or its place in the queue; released when dropped.
#[must_use = "the slot is released when the permit is dropped"]
pub struct Permit {
    service: Arc<Service>,
    id: RequestId,
    is_queued: bool,
    service_time: Option<Duration>,
}

impl Permit {
    /// Creates a permit for an admitted request.
    pub fn admitted(service: Arc<Service>, id: RequestId) -> Self {
        Self { service, id, is_queued: false, service_time: None }
    }

    /// Creates a permit for a queued request.
    pub fn queued(service: Arc<Service>, id: RequestId) -> Self {
        Self { service, id, is_queued: true, service_time: None }
    }

    /// Marks the queued request as admitted.
    pub fn set_admitted(&mut self) {
        self.is_queued = false;
    }

    /// Sets the time that a backend server took for the whole answer.
    pub fn set_service_time(&mut self, took: Duration) {
        self.service_time = Some(took);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.service.release(self.id, self.is_queued, self.service_time);
    }
}
