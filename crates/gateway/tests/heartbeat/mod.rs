//! A peer's heartbeat.

use std::net::SocketAddr;

use gateway::{
    peer::{Capacity, Heartbeat, Phase},
    registry::Evacuations,
};

/// A heartbeat of a daemon without a registry that callers don't use.
pub(crate) fn usual() -> Heartbeat {
    Heartbeat {
        key: 7,
        host: "peer".to_owned(),
        domain: "a".into(),
        caller_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        phase: Phase::Ready,
        capacity: Capacity { link_mbps: 100.0, ..Capacity::default() },
        is_active: false,
        config: 1,
        config_checked_ms: None,
        evacuations: Evacuations::default(),
        registry_era: 0,
        registry_end: 0,
        registry_digest: 0,
        peers: Vec::new(),
        wants_reply: false,
    }
}
