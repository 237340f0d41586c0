//! How strictly upstreams are selected.

/// Which of the upstreams with free capacity a request may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligibility {
    /// Only those whose current report shows normal pace; all if the service does not report pace.
    Normal,
    /// Those whose expected pace is normal. If too few upstreams have normal pace to wait for one,
    /// also degraded ones without requests in flight.
    NormalOrIdle,
    /// All of them.
    Any,
}
