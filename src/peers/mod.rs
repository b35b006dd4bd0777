//! The peers duty: typed messages between boxes over QUIC with mutual TLS.

mod desk;
mod frame;
mod keys;
mod link;

pub(crate) use self::desk::{PeersInput, PeersSetup, check_keys, run};

pub use self::frame::{Frame, FrameError, MAX_FRAME_BYTES, PROTOCOL_VERSION, decode, encode};
