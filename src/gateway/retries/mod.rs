//! Retries of requests: charged to this box's share of the retry budget or, when that is spent, borrowed from another box, which
//! counts a loan as a retry of its own. So the sum over all boxes is that of their shares.
//!
//! Imports the folders up to `stages`. Which boxes are asked is decided in `decisions::retry_lenders`, and what a box may lend in
//! `decisions::retry_window`.

mod borrowing;
mod charge;
mod messages;

pub(crate) use self::{
  borrowing::may_borrow_retry,
  charge::{RetryCharge, take_own_retry, take_retry},
  messages::{LEND_RETRY_PATH, RETURN_RETRY_PATH, handle_lend_retry, handle_return_retry},
};
