//! Organisations' rate limits over all boxes: usage reports between boxes, and the admission of a request. Some boxes of each hall are
//! coordinators: they account the usage of all boxes and exchange their totals; every other box reports its usage to one of them.
//!
//! Imports the folders up to `state`. The accounting is in `decisions`: `usage_table` on coordinators, `local_usage` on all other
//! boxes.

mod admission;
mod messages;
mod metrics;
mod reporting;

pub(crate) use self::{
  admission::{Charge, OverLimit, admit},
  messages::{
    DEMAND_PATH, RANKED_USAGE_PATH, TOTALS_PATH, USAGE_PATH, handle_demand, handle_ranked_usage,
    handle_totals, handle_usage,
  },
  metrics::limit_metrics,
  reporting::sync_usage,
};
