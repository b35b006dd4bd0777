//! A small deployment: a store, model servers, boxes, and the clients' tries.

use {
  super::{
    client::{StreamRequest, Try, run_client},
    engine::{Engine, EngineIdentity, Pace, Runs, Stage},
    gateway_box::{GatewayBox, has_free_ports},
    http::spawn,
    plain_server::PlainServer,
    record::{Record, lock},
    store::Store,
  },
  std::{
    io,
    net::{Ipv4Addr, TcpListener},
    path::{Path, PathBuf},
    process,
    sync::{Arc, Mutex, OnceLock},
    thread::sleep,
    time::{Duration, Instant},
  },
};

/// The zones of the deployment.
pub const ZONES: [&str; 3] = ["oslo-a", "oslo-b", "oslo-c"];
/// The service of the model servers.
pub const SERVICE: &str = "llm";
/// How long the boxes may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(15);
/// Time between the boxes' readiness and the traffic.
const LEAD: Duration = Duration::from_millis(1_500);
/// Last octet of the address of stand-ins.
const STAND_IN_OCTET: u8 = 250;

/// One route for streams.
#[derive(Clone, Copy, Debug)]
pub struct Route {
  pub prefix: &'static str,
  pub timeout_ms: u64,
  pub target_ms: u64,
  pub max_attempts: u32,
  pub is_resumable: bool,
}

/// The servers that are there from the start.
#[derive(Clone, Copy, Debug)]
pub enum Servers<'a> {
  /// Engines, and the pace of their streams.
  Engines(&'a [EngineIdentity], Pace),
  /// Three plain servers of each service, one in each zone, and the duration of a request.
  Plain(&'a [&'a str], Duration),
  /// Both.
  EnginesAndPlain(&'a [EngineIdentity], Pace, &'a [&'a str], Duration),
}

/// The running deployment.
pub struct Deployment {
  pub record: Arc<Record>,
  pub store: Store,
  pub engines: Mutex<Vec<Arc<Engine>>>,
  pub runs: Runs,
  pub boxes: Vec<GatewayBox>,
  /// The tries of each client that has ended.
  pub clients: Mutex<Vec<Vec<Try>>>,
  folder: PathBuf,
  network: (u8, u8),
  traffic_began: OnceLock<Instant>,
}

impl Deployment {
  /// Starts a store with a configuration, and boxes in turn in each zone. Folders of settings and logs go to `folder`.
  pub fn start(
    record: &Arc<Record>,
    folder: &Path,
    boxes: u8,
    configuration: &str,
    servers: Servers<'_>,
  ) -> io::Result<Self> {
    let network = free_network(boxes)?;
    let ip = |octet| Ipv4Addr::new(127, network.0, network.1, octet);
    let store = Store::start(TcpListener::bind((ip(STAND_IN_OCTET), 0))?, record)?;
    store.put("op/config", configuration);
    let mut deployment = Self {
      boxes: Vec::new(),
      clients: Mutex::default(),
      engines: Mutex::default(),
      folder: folder.into(),
      network,
      record: record.clone(),
      runs: Runs::default(),
      store,
      traffic_began: OnceLock::new(),
    };
    let (engines, pace, services, work) = match servers {
      Servers::Engines(engines, pace) => (engines, Some(pace), &[][..], Duration::ZERO),
      Servers::Plain(services, work) => (&[][..], None, services, work),
      Servers::EnginesAndPlain(engines, pace, services, work) => {
        (engines, Some(pace), services, work)
      }
    };
    for (identity, pace) in engines.iter().zip(pace.into_iter().cycle()) {
      deployment.add_engine(identity.clone(), pace)?;
    }
    let plain = services.iter().flat_map(|service| [*service; ZONES.len()]);
    for (number, service) in plain.enumerate() {
      let zone = ZONES[number % ZONES.len()];
      let id = format!("i-{service}-{number}");
      deployment.add_plain_server((&id, service), work, zone)?;
    }
    for number in 0..boxes {
      let zone = ZONES[usize::from(number) % ZONES.len()];
      deployment.boxes.push(GatewayBox::start(
        (ip(number + 1), zone),
        &ZONES,
        deployment.store.address,
        folder,
        record,
      )?);
    }
    for node in &deployment.boxes {
      node.wait_until_ready(READY_LIMIT)?;
    }
    Ok(deployment)
  }

  /// Starts an engine, which registers in the store.
  pub fn add_engine(&self, identity: EngineIdentity, pace: Pace) -> io::Result<Arc<Engine>> {
    let ip = Ipv4Addr::new(127, self.network.0, self.network.1, STAND_IN_OCTET);
    let listener = TcpListener::bind((ip, 0))?;
    let engine = Engine::start(identity, listener, pace, &self.runs, &self.record)?;
    self.store.put(&engine.key(), &engine.entry());
    lock(&self.engines).push(engine.clone());
    Ok(engine)
  }

  /// Starts an engine that has crashed again, under its id and at its address; does not register it.
  pub fn restart_engine(&self, former: &Engine, version: &str) -> io::Result<Arc<Engine>> {
    let identity = EngineIdentity {
      version: version.into(),
      ..former.identity.clone()
    };
    self
      .record
      .line(&format!("{}: starts again as {version}", identity.id));
    let listener = TcpListener::bind(former.address)?;
    Engine::start(identity, listener, former.pace, &self.runs, &self.record)
  }

  /// Starts a plain server, which registers in the store.
  fn add_plain_server(&self, names: (&str, &str), work: Duration, zone: &str) -> io::Result<()> {
    let ip = Ipv4Addr::new(127, self.network.0, self.network.1, STAND_IN_OCTET);
    let listener = TcpListener::bind((ip, 0))?;
    let server = PlainServer::start(names, work, listener, &self.runs, &self.record)?;
    let key = format!("servers/{}", names.0);
    self.store.put(&key, &server.entry(zone));
    Ok(())
  }

  /// The box that gets a client's new channel: one that is in of the client's zone, and another one than the last if there is one.
  pub fn pick_box(&self, client: u64, turn: usize, last: &str) -> &GatewayBox {
    let first = (client % ZONES.len() as u64) as usize;
    let zones = (0..ZONES.len()).map(|offset| ZONES[(first + offset) % ZONES.len()]);
    let mut usable = zones.map(|zone| self.usable_boxes(zone));
    let nodes = usable.find(|nodes| !nodes.is_empty());
    let nodes = nodes.unwrap_or_else(|| self.boxes.iter().collect());
    let others = nodes.iter().copied().filter(|node| node.name != last);
    let others: Vec<&GatewayBox> = others.collect();
    let nodes = if others.is_empty() { nodes } else { others };
    nodes[turn % nodes.len()]
  }

  /// The boxes of a zone that get new channels: those that are in, or all if fewer than half are; none if none is in.
  fn usable_boxes(&self, zone: &str) -> Vec<&GatewayBox> {
    let of_zone = self.boxes.iter().filter(|node| node.zone == zone);
    let of_zone: Vec<&GatewayBox> = of_zone.collect();
    let in_now = of_zone.iter().copied().filter(|node| node.is_in());
    let in_now: Vec<&GatewayBox> = in_now.collect();
    match in_now.len() * 2 < of_zone.len() && !in_now.is_empty() {
      true => of_zone,
      false => in_now,
    }
  }

  /// Time since the traffic began.
  pub fn traffic_time(&self) -> Duration {
    self
      .traffic_began
      .get()
      .map_or(Duration::ZERO, Instant::elapsed)
  }

  /// Waits until a time after the beginning of the traffic.
  pub fn wait_until(&self, time: Duration) {
    sleep(time.saturating_sub(self.traffic_time()));
  }

  /// Starts the readiness checks, and clients of streams at a rate for some time; does not wait for them.
  pub fn start_streams(
    self: &Arc<Self>,
    per_s: f64,
    time: Duration,
    request: StreamRequest,
  ) -> io::Result<()> {
    self.start_traffic(per_s, time, move |deployment, number| {
      run_client(deployment, number, request);
    })
  }

  /// Starts the readiness checks, and clients at a rate for some time; does not wait for them.
  pub fn start_traffic(
    self: &Arc<Self>,
    per_s: f64,
    time: Duration,
    client: impl Fn(&Arc<Self>, u64) + Clone + Send + 'static,
  ) -> io::Result<()> {
    for index in 0..self.boxes.len() {
      let deployment = self.clone();
      spawn(move || deployment.boxes[index].check_readiness())?;
    }
    sleep(LEAD);
    self.traffic_began.get_or_init(Instant::now);
    self.record.line("traffic begins");
    self.add_traffic(per_s, time, client)
  }

  /// Starts further clients at a rate for some time, from the beginning of the traffic; does not wait for them.
  pub fn add_traffic(
    self: &Arc<Self>,
    per_s: f64,
    time: Duration,
    client: impl Fn(&Arc<Self>, u64) + Clone + Send + 'static,
  ) -> io::Result<()> {
    let deployment = self.clone();
    spawn(move || {
      let count = (per_s * time.as_secs_f64()) as u64;
      for number in 0..count {
        deployment.wait_until(Duration::from_secs_f64(number as f64 / per_s));
        let (of_client, client) = (deployment.clone(), client.clone());
        if spawn(move || client(&of_client, number)).is_err() {
          deployment.record.line("client not started");
        }
      }
    })?;
    Ok(())
  }

  /// Ends the processes of all boxes, and removes their settings and logs unless `KEEP_LOGS` is set.
  pub fn stop(&self) {
    self.boxes.iter().for_each(GatewayBox::kill);
    if std::env::var_os("KEEP_LOGS").is_none() {
      // What can't be removed stays in the temporary folder.
      let _ = std::fs::remove_dir_all(&self.folder);
    }
    self.record.flush();
  }
}

/// Engines of one version: `prefill` and `decode` of them, in turn in each zone.
pub fn engines(version: &str, prefill: usize, decode: usize) -> Vec<EngineIdentity> {
  let stages = (0..prefill + decode).map(|number| {
    let is_prefill = number < prefill;
    (
      number,
      if is_prefill {
        Stage::Prefill
      } else {
        Stage::Decode
      },
    )
  });
  stages
    .map(|(number, stage)| EngineIdentity {
      id: format!("i-{version}-{number}"),
      service: SERVICE.into(),
      stage,
      version: version.into(),
      zone: ZONES[number % ZONES.len()].into(),
    })
    .collect()
}

/// A part of 127.0.0.0/8 in which the boxes' ports are free.
fn free_network(boxes: u8) -> io::Result<(u8, u8)> {
  let process = process::id();
  let candidates = (0..200).map(|attempt| {
    let number = process.wrapping_add(attempt * 7_919);
    (64 + (number % 64) as u8, (number / 64 % 250) as u8)
  });
  let is_free = |(one, two): &(u8, u8)| {
    (1..=boxes).all(|octet| has_free_ports(Ipv4Addr::new(127, *one, *two, octet)))
  };
  let mut free = candidates.filter(is_free);
  free.next().ok_or_else(|| io::Error::other("no free ports"))
}

/// A configuration with one route for streams.
pub fn stream_configuration(route: Route) -> String {
  configuration(route, "", "")
}

/// A configuration with one route for streams, and one for requests of a plain service that may run at most once.
pub fn mixed_configuration(route: Route, prefix: &str, timeout_ms: u64, service: &str) -> String {
  let plain_route = format!(
    ",{{\"name\":\"r-2\",\"host\":\"lectures.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"unsafe\",\
     \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":300,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":1}}"
  );
  let plain_service = format!(
    ",{{\"name\":\"{service}\",\"healthPath\":\"/health\",\"maxConnections\":430,\"protocol\":\"h1\",\"tls\":false}}"
  );
  configuration(route, &plain_route, &plain_service)
}

fn configuration(route: Route, plain_route: &str, plain_service: &str) -> String {
  let Route {
    is_resumable,
    max_attempts,
    prefix,
    target_ms,
    timeout_ms,
  } = route;
  format!(
    "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"lectures.example\",\"pathPrefix\":\"{prefix}\",\
     \"kind\":\"stream\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\"priority\":1,\
     \"service\":\"{SERVICE}\",\"maxAttempts\":{max_attempts},\"stickySessions\":true,\"resumable\":{is_resumable},\
     \"gapTargetMs\":300}}{plain_route}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":620,\
     \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":128,\"kvTokens\":200000,\"kvTokenBytes\":18432,\
     \"linkMbps\":350000.0,\"moves\":true,\"backups\":true,\"stride\":11,\"most\":12,\"handleTtlS\":0.5,\
     \"switchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}}{plain_service}],\
     \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
  )
}

/// A temporary folder for settings and logs.
pub fn temporary_folder(case: &str) -> io::Result<PathBuf> {
  let folder = std::env::temp_dir().join(format!("review-{case}-{}", process::id()));
  std::fs::create_dir_all(&folder)?;
  Ok(folder)
}
