//! Memory that is held for callers, and who gives it up when it runs short.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::IpAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use super::{Account, Holder, Kind, Share, Stage, share::FREE_BYTES};

/// One part in this many of the limit is reserved for connections that hold little.
const RESERVE_DIVISOR: usize = 32;
/// Smallest and largest reserve, in bytes.
const RESERVE_BYTES: (usize, usize) = (1 << 20, 16 << 20);
/// One part in this many of the limit is for large heads. They are in the heap, which keeps what is
/// freed: of 64 MB, it kept 26 MB that no body could use.
const HEADS_DIVISOR: usize = 4;
/// Size up to which a connection may use the reserve, in bytes.
const SMALL_BYTES: usize = 256 << 10;
/// Shortest time between two searches for connections to evict, since each looks at all of them.
const SEARCH_INTERVAL: Duration = Duration::from_millis(2);
/// Time without progress after which a connection that has sent part of a head may be closed for a
/// new one.
const SLOW_HEAD: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    account: Account,
    holders: RefCell<Vec<Weak<Holder>>>,
    searched: Cell<Option<Instant>>,
}

/// Memory that is held for callers, and the connections that hold it.
#[derive(Clone, Debug, Default)]
pub struct Memory(Rc<State>);

impl Memory {
    /// Creates an account of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Rc::new(State { account: Account::new(limit), ..State::default() }))
    }

    /// The account.
    #[must_use]
    pub fn account(&self) -> &Account {
        &self.0.account
    }

    /// Bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.account.used()
    }

    /// Largest number of bytes that one connection may hold.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        let limit = self.0.account.limit();
        limit - (limit / RESERVE_DIVISOR).clamp(RESERVE_BYTES.0, RESERVE_BYTES.1).min(limit)
    }

    /// Opens the share of one answer, which ends when it is dropped.
    #[must_use]
    pub fn share(&self) -> Share {
        Share::new(self.clone(), self.0.account.charge(Kind::Answers))
    }

    /// Registers a connection of a group. It counts until it is dropped.
    #[must_use]
    pub fn register(&self, address: IpAddr, group: usize, now: Instant) -> Rc<Holder> {
        let res = Rc::new(Holder::new(address, group, now));
        let mut holders = self.0.holders.borrow_mut();
        if holders.len() == holders.capacity() {
            holders.retain(|it| it.strong_count() > 0);
        }
        holders.push(Rc::downgrade(&res));
        res
    }

    /// Whether more is held than the limit.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.used() > self.0.account.limit()
    }

    /// Whether an answer of `bytes`, which are counted already, may be kept.
    #[must_use]
    pub fn allows_answer(&self, bytes: usize) -> bool {
        bytes <= FREE_BYTES || !self.is_exceeded()
    }

    /// Whether a large head, which is counted already, may be kept.
    #[must_use]
    pub fn allows_head(&self) -> bool {
        let account = &self.0.account;
        !self.is_exceeded() && account.used_for(Kind::Heads) <= account.limit() / HEADS_DIVISOR
    }

    /// Whether a connection that holds `held` bytes may hold `more`. Connections that hold little
    /// may use the reserve.
    #[must_use]
    pub fn allows(&self, held: usize, more: usize) -> bool {
        let is_small = held + more <= SMALL_BYTES;
        let limit = if is_small { self.0.account.limit() } else { self.max_bytes() };
        self.used().saturating_add(more) <= limit
    }

    /// Makes connections give up at least `bytes`, those that cost others most first, and never
    /// `asking`, unless it is the only one.
    pub fn relieve(&self, now: Instant, bytes: usize, asking: Option<&Holder>) {
        let is_early = |it: Instant| now.saturating_duration_since(it) < SEARCH_INTERVAL;
        if self.0.searched.get().is_some_and(is_early) {
            return;
        }
        self.0.searched.set(Some(now));
        let holders = self.live();
        let mut by_address = HashMap::<IpAddr, usize>::new();
        for it in &holders {
            *by_address.entry(it.address).or_default() += it.bytes.get();
        }
        // Evicted connections have not given all up yet.
        let mut freed: usize =
            holders.iter().filter(|it| it.is_evicted()).map(|it| it.bytes.get()).sum();
        let is_small = |it: &Holder| it.bytes.get() <= SMALL_BYTES;
        let is_asking = |it: &Holder| asking.is_some_and(|asking| std::ptr::eq(asking, it));
        let mut costs: Vec<_> = holders
            .iter()
            .filter(|it| !(is_asking(it) && is_small(it)))
            .filter_map(|it| {
                let share = by_address.get(&it.address).copied().unwrap_or_default();
                Some((it.cost(now)? * share as f64, it))
            })
            .collect();
        costs.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (cost, it) in costs {
            if freed >= bytes || cost <= 0.0 {
                return;
            }
            freed += it.bytes.get();
            it.evict();
        }
    }

    /// Closes the connection of a group that has been idle for longest, or is slowest with its head,
    /// to make room for another one. Returns whether there was one.
    #[must_use]
    pub fn close_idle(&self, group: usize, now: Instant) -> bool {
        let holders = self.live();
        let is_candidate = |it: &&Rc<Holder>| match it.stage.get() {
            Stage::Idle => true,
            Stage::Reading => it.idle(now) >= SLOW_HEAD,
            Stage::Working | Stage::Writing => false,
        };
        let others = holders.iter().filter(|it| it.group == group && !it.is_evicted());
        let candidates = others.filter(is_candidate);
        let longest = candidates.max_by_key(|it| (it.stage.get() == Stage::Idle, it.idle(now)));
        longest.inspect(|it| it.evict()).is_some()
    }

    fn live(&self) -> Vec<Rc<Holder>> {
        let mut holders = self.0.holders.borrow_mut();
        holders.retain(|it| it.strong_count() > 0);
        holders.iter().filter_map(Weak::upgrade).collect()
    }
}
