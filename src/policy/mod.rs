//! Operators' policy programs: `rhai` scripts with limits on operations, depth and sizes.
//!
//! A program has two functions: `rank(request, now)` ranks each request, `shift(now, pools)` splits engines into roles.

mod policy_error;
mod program;
mod types;

pub use self::{
  policy_error::PolicyError,
  program::Program,
  types::{Clock, PoolStats, RequestAttributes, RoleSplit},
};
