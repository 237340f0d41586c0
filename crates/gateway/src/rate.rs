//! Rates that all daemons share: how they are divided, and what one daemon may still use.
//!
//! Does no input or output; the caller passes the current time to each call.

mod account;
mod bucket;
mod budget;
mod demand;
mod quotas;
mod terms;
mod window;

pub use bucket::Bucket;
pub use budget::{Budget, slack_share};
pub use demand::{Demand, TenantKey, tenant_key};
pub use quotas::{Quotas, REPORT_INTERVAL};
pub use terms::Terms;
pub use window::Window;
