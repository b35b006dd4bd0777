//! A stand-in of a plain application server.

use {
  super::{
    engine::{Run, RunEnd, Runs},
    http::{Request, serve, write_json},
    record::{Record, lock},
  },
  std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread::sleep,
    time::Duration,
  },
};

const SLOTS: u32 = 24;

/// A running server.
pub struct PlainServer {
  id: String,
  service: String,
  address: SocketAddr,
}

impl PlainServer {
  /// Starts a server. Its answers name its service.
  pub fn start(
    (id, service): (&str, &str),
    work: Duration,
    listener: TcpListener,
    runs: &Runs,
    record: &Arc<Record>,
  ) -> io::Result<Self> {
    let server = Self {
      address: listener.local_addr()?,
      id: id.into(),
      service: service.into(),
    };
    let (id, service) = (server.id.clone(), server.service.clone());
    let (record, runs) = (record.clone(), runs.clone());
    serve(
      listener,
      Arc::new(move |request: Request, stream: &mut TcpStream| {
        let of = request.headers.get("x-request-id").unwrap_or_default();
        let expected = request.headers.get("x-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
          let headers = format!("X-Request-Id: {of}\r\nX-Instance-Id: {id}\r\n");
          return write_json(stream, 421, &headers, "{}");
        }
        record.line(&format!("{id} of {service}: runs {of}"));
        let run = {
          let mut runs = lock(&runs);
          runs.push(Run {
            end: None,
            engine: id.clone(),
            request: of.into(),
          });
          runs.len() - 1
        };
        sleep(work);
        let headers =
          format!("X-Request-Id: {of}\r\nX-Response-Seal: {id}.{of}\r\nX-Served-By: {service}\r\n");
        let written = write_json(stream, 200, &headers, "{\"done\":true}");
        let end = match &written {
          Ok(_) => RunEnd::Complete,
          Err(_) => RunEnd::ChannelClosed,
        };
        lock(&runs)[run].end = Some((end, record.now_ms()));
        written
      }),
    )?;
    Ok(server)
  }

  /// Its entry in the store.
  pub fn entry(&self, zone: &str) -> String {
    format!(
      "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\
       \"coldRemainingMs\":0,\"callSeq\":0}}",
      self.service, self.address
    )
  }
}
