//! A router for separate prefill and decode pools.

pub mod decide;
pub mod ids;
pub mod policy;
pub mod ring;
