//! How strictly upstreams are selected.

/// Which upstreams a request may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligibility {
    /// Only upstreams whose recent report shows normal pace.
    Normal,
    /// Also upstreams whose expected pace is normal. If most upstreams are degraded, also degraded
    /// ones without other requests in flight.
    NormalOrIdle,
    /// All upstreams with free capacity.
    Any,
}
