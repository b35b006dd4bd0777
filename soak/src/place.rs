//! The places of endpoints.

use {
  super::running_endpoint::RunningEndpoint,
  stand_ins::{Link, Target},
  std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
  },
  tokio::net::TcpListener,
};

/// Ports that are tried for a place.
const MAX_ATTEMPTS: u32 = 20;

/// An address behind links, at which incarnations of an endpoint run one after another.
pub(crate) struct Place {
  /// The address in the store; each box sees its own link's host in it.
  pub(crate) address: SocketAddr,
  /// The links, one for each box.
  pub(crate) links: Vec<Link>,
  target: Target,
  /// `None` while the endpoint is down.
  running: Mutex<Option<RunningEndpoint>>,
}

impl Place {
  /// A place with a link for each host, all at one port. Tries another port when one is in use at some host.
  pub(crate) async fn open(hosts: &[Ipv4Addr], target: SocketAddr) -> io::Result<Self> {
    let mut attempts = 1;
    loop {
      match Self::open_at_free_port(hosts, target).await {
        Err(error) if error.kind() == io::ErrorKind::AddrInUse && attempts < MAX_ATTEMPTS => {
          attempts += 1;
        }
        result => return result,
      }
    }
  }

  async fn open_at_free_port(hosts: &[Ipv4Addr], target: SocketAddr) -> io::Result<Self> {
    // Holds the port while the links are opened.
    let held = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = held.local_addr()?;
    let target = Arc::new(Mutex::new(target));
    let mut links = Vec::new();
    for host in hosts {
      let link_address = SocketAddr::from((*host, address.port()));
      links.push(Link::open_at(link_address, &target).await?);
    }
    Ok(Self {
      address,
      links,
      running: Mutex::new(None),
      target,
    })
  }

  /// Forwards new connections to another target.
  pub(crate) fn set_target(&self, target: SocketAddr) {
    *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
  }

  /// The running endpoint, locked.
  pub(crate) fn running(&self) -> MutexGuard<'_, Option<RunningEndpoint>> {
    self.running.lock().unwrap_or_else(PoisonError::into_inner)
  }
}
