//! Determines which team may change a section.
//!
//! A service, its routes and its upstreams belong to the service's owner; ranks and teams belong to
//! the teams with `admin = yes`, which may also change everything else.

use crate::{Item, ServiceId, TeamId};

/// The teams that may change a section.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Owner {
    /// Only teams with `admin = yes`.
    Admins,
    /// The team, and teams with `admin = yes`.
    Team(TeamId),
    /// Not determined, because the section refers to a service that doesn't exist.
    Unknown,
}

/// Returns the owner of `item`; `service_owner` looks up the owner of a service.
pub(crate) fn owner(item: &Item, service_owner: impl Fn(&ServiceId) -> Option<TeamId>) -> Owner {
    let of_service = |id| service_owner(id).map_or(Owner::Unknown, Owner::Team);
    match item {
        Item::Team(_) | Item::Rank(_) => Owner::Admins,
        Item::Service(it) => Owner::Team(it.owner.clone()),
        Item::Route(it) => of_service(&it.service),
        Item::Upstream(it) => of_service(&it.service),
    }
}
