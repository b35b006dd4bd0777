//! Operators' policy programs: `rhai` scripts with bounds on work, depth and sizes.
//!
//! Two functions: `rank(request, now)` for each request, `shift(now, pools)` for roles.

mod facts;
mod policy_error;
mod program;

pub use self::{
  facts::{Clock, PoolStats, RequestAttributes, RoleSplit},
  policy_error::PolicyError,
  program::Program,
};
