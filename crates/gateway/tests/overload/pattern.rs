//! Load patterns.

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name of its route.
    pub route: &'static str,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Usual work in milliseconds; single requests differ by up to a tenth.
    pub work_ms: u32,
    /// Share of the requests that need seven times the usual work.
    pub tail: f64,
    /// Target latency in milliseconds.
    pub target_ms: u32,
    /// Deadline in milliseconds.
    pub deadline_ms: u32,
}

impl Kind {
    /// Mean work in seconds.
    pub fn mean_s(&self) -> f64 {
        f64::from(self.work_ms) / 1e3 * (1.0 + 6.0 * self.tail)
    }
}

/// Requests of one kind and tenant.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// Kind of the requests.
    pub kind: Kind,
    /// Tenant that sends them.
    pub tenant: Option<&'static str>,
    /// Usual load, as a share of the service's capacity.
    pub load: f64,
    /// Factor during the burst.
    pub burst: f64,
}

/// A load pattern. The burst begins after 8 s.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Name.
    pub name: &'static str,
    /// Where requests come from.
    pub sources: Vec<Source>,
    /// Number of slots of all upstreams.
    pub slots: usize,
    /// Number of daemons that callers use.
    pub daemons: usize,
    /// Length of the burst in milliseconds.
    pub burst_ms: u64,
}

const fn kind(route: &'static str, priority: u8, work_ms: u32, times: (u32, u32)) -> Kind {
    Kind { route, priority, work_ms, tail: 0.0, target_ms: times.0, deadline_ms: times.1 }
}

const SEARCH: Kind = Kind { tail: 0.03, ..kind("search", 2, 260, (800, 2_500)) };
const ORDER: Kind = kind("order", 1, 330, (1_000, 3_000));
const READ: Kind = kind("read", 1, 100, (300, 1_200));
const UPLOAD: Kind = kind("upload", 1, 310, (1_500, 3_000));
const LIST: Kind = kind("list", 1, 130, (400, 1_500));
const DETAIL: Kind = kind("detail", 1, 170, (500, 1_500));
const DOWNLOAD: Kind = kind("download", 2, 110, (1_500, 3_000));
const URGENT: Kind = kind("urgent", 0, 110, (250, 1_000));

fn source(kind: Kind, load: f64, burst: f64) -> Source {
    Source { kind, tenant: None, load, burst }
}

fn of_tenant(tenant: &'static str, kind: Kind, load: f64, burst: f64) -> Source {
    Source { kind, tenant: Some(tenant), load, burst }
}

fn pattern(name: &'static str, slots: usize, daemons: usize, sources: Vec<Source>) -> Pattern {
    Pattern { name, sources, slots, daemons, burst_ms: 5_000 }
}

/// The load patterns of the design note.
pub fn patterns() -> Vec<Pattern> {
    let quarter = |burst| vec![source(READ, 0.35, burst), source(UPLOAD, 0.35, burst)];
    vec![
        pattern("usual load", 60, 8, vec![source(SEARCH, 0.7, 1.0)]),
        pattern("one kind", 60, 8, vec![source(SEARCH, 0.7, 2.5)]),
        pattern("one kind, 40 daemons", 100, 40, vec![source(SEARCH, 0.7, 2.5)]),
        pattern("non-idempotent", 60, 8, vec![source(ORDER, 0.7, 2.3)]),
        pattern("reads and uploads", 60, 8, quarter(2.3)),
        pattern("similar kinds", 60, 8, vec![source(LIST, 0.35, 2.3), source(DETAIL, 0.35, 2.3)]),
        pattern(
            "urgent beside bulk",
            60,
            8,
            vec![source(DOWNLOAD, 0.4, 3.0), source(URGENT, 0.3, 1.5)],
        ),
        pattern(
            "urgent flood",
            60,
            8,
            vec![source(DOWNLOAD, 0.35, 1.0), source(URGENT, 0.35, 4.0)],
        ),
        Pattern {
            burst_ms: 12_000,
            ..pattern(
                "urgent alone over capacity",
                30,
                4,
                vec![source(DOWNLOAD, 0.2, 1.0), source(URGENT, 0.6, 5.0)],
            )
        },
        pattern(
            "one tenant floods",
            60,
            8,
            vec![
                of_tenant("large", SEARCH, 0.35, 1.0),
                of_tenant("middle", SEARCH, 0.15, 1.0),
                of_tenant("small", SEARCH, 0.05, 1.0),
                of_tenant("flood", SEARCH, 0.15, 7.0),
            ],
        ),
        pattern(
            "one tenant floods two kinds",
            60,
            8,
            vec![
                of_tenant("large", LIST, 0.3, 1.0),
                of_tenant("small", LIST, 0.1, 1.0),
                of_tenant("small", DETAIL, 0.1, 1.0),
                of_tenant("flood", LIST, 0.2, 6.0),
            ],
        ),
    ]
}
