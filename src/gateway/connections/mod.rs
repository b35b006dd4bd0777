//! Connections to endpoints, and the listeners that others connect to: limits, rest and reuse, headers that concern one
//! connection alone, messages between boxes.
//!
//! Imports nothing of the gateway. A request comes in through [`accept`] and goes out over a [`Connection`], which then
//! rests in the [`ConnectionPool`].

mod accept;
mod box_message;
mod connection;
mod connection_pool;
mod headers;

pub use self::headers::remove_connection_headers;

pub(crate) use self::{
  accept::{accept, serve_port},
  box_message::{message_answer, read_message, send_message, status_answer},
  connection::{Connection, SendError, set_socket_options},
  connection_pool::ConnectionPool,
};
