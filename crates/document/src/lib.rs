//! The configuration document that operators publish: its types, its parser and the fold of
//! published changes.
//!
//! This crate does no network or file I/O and reads no clock. Findings are collected with their
//! line and section and reported together.

mod check;
mod document;
mod fold;
mod item;
mod name;
pub mod publication;
mod rank;
pub mod replica;
mod report;
mod route;
pub mod section;
mod service;
pub mod snapshot;
mod split;
mod team;
mod upstream;
pub mod verdict;

pub use document::Document;
pub use fold::{Fold, RULES_VERSION, WINDOW_RECORDS};
pub use ini::Finding;
pub use item::Item;
pub use name::MAX_NAME_BYTES;
pub use publication::{Publication, PublicationId};
pub use rank::Rank;
pub use replica::Replica;
pub use report::MAX_FINDINGS;
pub use route::Route;
pub use section::Section;
pub use service::Service;
pub use split::{MAX_DOCUMENT_BYTES, MAX_SECTIONS, split};
pub use team::Team;
pub use upstream::Upstream;
pub use verdict::Verdict;

/// Name of a service, unique in a document.
pub type ServiceId = std::sync::Arc<str>;
/// Name of an upstream, unique in a document.
pub type UpstreamId = std::sync::Arc<str>;
/// Name of a rank, unique in a document.
pub type RankId = std::sync::Arc<str>;
/// Name of a route, unique in a document.
pub type RouteId = std::sync::Arc<str>;
/// Name of a failure domain.
pub type Domain = std::sync::Arc<str>;
/// Name of a team, unique in a document.
pub type TeamId = std::sync::Arc<str>;
/// Position of a record in the log.
pub type Offset = u64;
/// Version of the document: the offset of the publication that produced it. Versions only increase.
pub type Version = Offset;
/// A document, or all findings in its text.
pub type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;
