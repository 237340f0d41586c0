//! A slot held by a request.

use std::{sync::Arc, time::Duration};

use admission::RequestId;

use crate::service::Service;

/// A slot held by a request; given back when dropped.
#[must_use = "the slot is given back when the permit is dropped"]
pub struct Permit {
    service: Arc<Service>,
    id: RequestId,
    waits: bool,
    served: Option<Duration>,
}

impl Permit {
    /// A permit that holds a slot.
    pub fn holding(service: Arc<Service>, id: RequestId) -> Self {
        Self { service, id, waits: false, served: None }
    }

    /// A permit that has a place in the queue.
    pub fn waiting(service: Arc<Service>, id: RequestId) -> Self {
        Self { service, id, waits: true, served: None }
    }

    /// Notes that the gate gave a slot to the request that waited.
    pub fn admitted(&mut self) {
        self.waits = false;
    }

    /// Notes the time that a backend server took for the whole answer.
    pub fn served(&mut self, took: Duration) {
        self.served = Some(took);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.service.release(self.id, self.waits, self.served);
    }
}
