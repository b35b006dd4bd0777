//! Role assignment: one box, the role leader, assigns engines to prefill or decode.
//!
//! Imports `stages` and the folders below it. `decisions` computes which engines change their role; the calls to the engines are
//! made here.

mod role_leader;

pub(crate) use self::role_leader::manage_roles;
