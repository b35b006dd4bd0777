//! The peers worker: typed messages between boxes over QUIC with mutual TLS.

mod frame;
mod link;
mod tls;
mod worker;

pub(crate) use self::worker::{PeersInput, PeersSetup, check_keys, run};

pub use self::frame::{Frame, FrameError, MAX_FRAME_BYTES, PROTOCOL_VERSION, decode, encode};
