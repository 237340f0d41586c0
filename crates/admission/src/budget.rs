//! A budget for retries and hedges.

use std::time::Instant;

/// Thousandths of a token.
type Millitokens = u64;

/// Price of one retry or hedge.
const TOKEN: Millitokens = 1_000;
/// Maximum balance, which bounds a burst to 20 retries.
const MAX_BALANCE: Millitokens = 20 * TOKEN;
/// Tokens added without any success, so that a service with little traffic can retry at all.
const IDLE_TOKENS_PER_S: u64 = 1;
/// Balance reserved for retries, which hedges can't use.
const HEDGE_RESERVE: Millitokens = MAX_BALANCE / 2;

/// Limits retries and hedges to a share of successes.
///
/// When nothing succeeds, only one extra attempt a second is allowed once the balance is spent, so
/// retries can't amplify an outage.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u8,
    balance: Millitokens,
    refilled: Instant,
}

impl Budget {
    /// A budget of `percent` of successes.
    #[must_use]
    pub fn new(now: Instant, percent: u8) -> Self {
        Self { percent, balance: HEDGE_RESERVE, refilled: now }
    }

    /// Changes the share of successes, in percent.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = percent;
    }

    /// Records that a first attempt succeeded.
    pub fn record_success(&mut self) {
        self.deposit(u64::from(self.percent) * TOKEN / 100);
    }

    /// Takes a token for a retry; returns `false` if there is none.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.withdraw(now, 0)
    }

    /// Takes a token for a hedge; returns `false` if that would use the reserve for retries.
    pub fn try_hedge(&mut self, now: Instant) -> bool {
        self.withdraw(now, HEDGE_RESERVE)
    }

    fn withdraw(&mut self, now: Instant, reserve: Millitokens) -> bool {
        self.refill(now);
        if self.percent == 0 || self.balance < reserve + TOKEN {
            return false;
        }
        self.balance -= TOKEN;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        let tokens = elapsed.as_secs().saturating_mul(IDLE_TOKENS_PER_S);
        if tokens == 0 {
            return;
        }
        self.refilled = now;
        // Refilling over time never exceeds the reserve for retries, so it grants no hedges.
        let max_balance = HEDGE_RESERVE.max(self.balance);
        self.balance = self.balance.saturating_add(tokens.saturating_mul(TOKEN)).min(max_balance);
    }

    fn deposit(&mut self, amount: Millitokens) {
        self.balance = (self.balance + amount).min(MAX_BALANCE);
    }
}
