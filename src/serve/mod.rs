//! `rillford serve`: the threads of a box and the rings between them.

mod decide_loop;
mod start;
mod stop;

pub(crate) use self::start::serve;
