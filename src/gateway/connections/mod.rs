//! Pooled connections to endpoints, listeners, hop-by-hop headers, and messages between boxes.
//!
//! Imports `edge` and `decisions`. A request arrives through [`accept`] and is sent over a [`Connection`], which then
//! returns to the [`ConnectionPool`].

mod accept;
mod addressed_request;
mod box_message;
mod caller_socket;
mod connection;
mod connection_pool;
mod headers;
mod liveness;
mod observed_stream;
mod recent_ids;
mod shared_connections;
mod stall_timeout;
mod watching_connections;

pub use self::headers::remove_connection_headers;

pub(crate) use self::{
  accept::{accept, serve_port},
  addressed_request::AddressedRequest,
  box_message::{message_response, read_message, send_message, status_response},
  caller_socket::{CallerSocket, EndsWithConnection},
  connection::{
    Connection, SendError, SentHold, set_send_buffer, set_socket_options, set_user_timeout,
  },
  connection_pool::{ConnectionPool, closes_connection},
  liveness::{Liveness, probe},
  shared_connections::{SharedConnection, SharedConnections},
  stall_timeout::{StallTimeout, Stalled},
  watching_connections::WatchingConnections,
};
