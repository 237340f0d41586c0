//! Registrations for tests of the registry.

use std::time::Duration;

use gateway::registry::{Registration, State};

/// First write of a ready upstream of the service `stock`.
pub(crate) fn upstream(id: &str, born_ms: u64) -> Registration {
    Registration {
        id: id.into(),
        born_ms,
        seq: 1,
        service: "stock".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 4,
        state: State::Ready,
        cold_for: Duration::ZERO,
    }
}
