//! Parts of a configuration that could not be read.

/// A part of a configuration that could not be read, so that it may hold more than is known.
///
/// What depends on such a part is refused as not run: a final refusal would need complete knowledge.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Gap {
    /// Limit on the size of heads.
    HeadLimit,
    /// Limit on the size of bodies.
    BodyLimit,
    /// Some hosts or routes.
    Routes,
    /// Some tenants or their keys.
    Keys,
}
