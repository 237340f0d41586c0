//! Generates documents of a given size.

use std::fmt::Write;

/// Number of failure domains.
const DOMAINS: usize = 11;
/// Slots of each upstream.
pub(super) const SLOTS: u32 = 6;

/// Size of a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Size {
    /// Number of upstreams of all services together.
    pub(super) upstreams: usize,
    /// Number of services, each with one route.
    pub(super) services: usize,
}

/// The size that the system is designed for.
pub(super) const TARGET: Size = Size { upstreams: 3_600, services: 130 };

/// Sizes up to the target size. Services and upstreams vary both together and separately.
pub(super) const SIZES: [Size; 7] = [
    Size { upstreams: 31, services: 3 },
    Size { upstreams: 450, services: 16 },
    Size { upstreams: 900, services: 33 },
    Size { upstreams: 1_800, services: 65 },
    Size { upstreams: 3_600, services: 33 },
    Size { upstreams: 900, services: 130 },
    TARGET,
];

/// Generates a document of the given size whose first upstream has `first_slots` slots.
///
/// The upstreams have loopback addresses on which nothing listens. The document has no probe
/// budget, so nothing is sent to them.
pub(super) fn document(size: Size, first_slots: u32) -> String {
    let mut res = String::from("[team operations]\nadmin = yes\n");
    for (order, rank) in ["urgent", "normal", "bulk"].iter().enumerate() {
        // Writing to a string can't fail.
        let _ = writeln!(res, "[rank {rank}]\norder = {order}\nfloor_percent = 20");
    }
    for it in 0..size.services {
        let _ = writeln!(
            res,
            "[service service-{it}]\nowner = operations\n[route route-{it}]\n\
             service = service-{it}\nmethod = GET\npath = /service-{it}\nrank = urgent\n\
             idempotent = yes\ndeadline = 500ms"
        );
    }
    for it in 0..size.upstreams {
        let slots = if it == 0 { first_slots } else { SLOTS };
        let _ = writeln!(
            res,
            "[upstream upstream-{it}]\nservice = service-{}\naddress = 127.{}.{}.{}:8080\n\
             domain = domain-{}\nslots = {slots}\nconnections = 220",
            it % size.services,
            1 + it / 62_500,
            it / 250 % 250,
            1 + it % 250,
            it / size.services % DOMAINS,
        );
    }
    res
}
