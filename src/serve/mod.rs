//! `rillford serve`: starts the threads of a box and connects them with rings.

mod decide_loop;
mod start;
mod stop;

pub(crate) use self::start::serve;
