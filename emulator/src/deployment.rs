//! A deployment on loopback: stand-ins run in this process, boxes as child processes.

use {
  crate::{
    Authority, BoxListStandIn, DoorFaults, EngineOptions, EngineStandIn, Host, KeyValueStandIn,
    Relay, ServiceStandIn, own_addresses,
  },
  rillford::{
    configuration::hash_key,
    decide::{BoxEntry, Role},
  },
  std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
  },
  tempfile::TempDir,
};

/// Bearer key of `ORGANISATION`.
pub const CALLER_KEY: &str = "caller-key";

/// Administration key of all boxes.
pub const ADMIN_KEY: &str = "admin-key";

/// The organisation of the initial configuration.
pub const ORGANISATION: &str = "oslo";

/// An endpoint to start.
#[derive(Clone, Debug)]
pub enum EndpointPlan {
  /// An engine for the model `lecture`.
  Engine(EngineOptions),
  /// An instance of a plain service.
  Service(String),
}

/// A hall to start.
#[derive(Clone, Debug)]
pub struct HallPlan {
  /// Name.
  pub name: String,
  /// Names of its boxes.
  pub boxes: Vec<String>,
  /// Endpoints with their names.
  pub endpoints: Vec<(String, EndpointPlan)>,
}

/// A deployment to start.
#[derive(Clone, Debug)]
pub struct Plan {
  /// The program `rillford`.
  pub program: PathBuf,
  /// The halls.
  pub halls: Vec<HallPlan>,
  /// The `platform` document of the initial configuration.
  pub platform_document: String,
  /// Additional TOML sections for the settings of each box.
  pub more_settings: String,
  /// Time to live of the role leader's lease.
  pub lease_ms: u64,
  /// Whether to start the boxes with the deployment.
  pub start_boxes: bool,
}

impl HallPlan {
  /// A hall with one prefill engine, two decode engines and one instance of `portal`.
  pub fn small(name: &str, boxes: &[&str]) -> Self {
    let engine = |role| {
      EndpointPlan::Engine(EngineOptions {
        role,
        ..EngineOptions::default()
      })
    };
    Self {
      boxes: boxes.iter().map(ToString::to_string).collect(),
      endpoints: vec![
        (format!("{name}-prefill-1"), engine(Role::Prefill)),
        (format!("{name}-decode-1"), engine(Role::Decode)),
        (format!("{name}-decode-2"), engine(Role::Decode)),
        (
          format!("{name}-portal-1"),
          EndpointPlan::Service("portal".into()),
        ),
      ],
      name: name.into(),
    }
  }
}

impl Plan {
  /// A plan with default settings.
  pub fn new(program: impl Into<PathBuf>, halls: Vec<HallPlan>) -> Self {
    Self {
      halls,
      lease_ms: 3_000,
      more_settings: "[limits]\nbalancer_lag_ms = 200\nstall_ms = 1000\n".into(),
      platform_document: "{}".into(),
      program: program.into(),
      start_boxes: true,
    }
  }
}

/// The stand-in of an endpoint.
pub enum Endpoint {
  /// An engine.
  Engine(EngineStandIn),
  /// A plain service.
  Service(ServiceStandIn),
}

/// A box, whose process may be running or not.
pub struct BoxProcess {
  /// Hall.
  pub hall: String,
  /// Address for callers.
  pub callers: SocketAddr,
  /// Address for operators.
  pub administration: SocketAddr,
  /// Address of its peer socket.
  pub peers: SocketAddr,
  /// Relay in front of its peer socket.
  pub relay: Relay,
  settings: PathBuf,
  log: PathBuf,
  child: Option<Child>,
}

impl BoxProcess {
  /// Base URL for callers.
  pub fn url(&self) -> String {
    format!("http://{}", self.callers)
  }

  /// Base URL for operators.
  pub fn admin_url(&self) -> String {
    format!("http://{}", self.administration)
  }

  /// Starts the process.
  pub fn start(&mut self, program: &Path) -> io::Result<()> {
    let log = File::options().create(true).append(true).open(&self.log)?;
    let child = Command::new(program)
      .arg("serve")
      .arg("--settings")
      .arg(&self.settings)
      .stdin(Stdio::null())
      .stdout(Stdio::null())
      .stderr(log)
      .spawn()?;
    self.child = Some(child);
    Ok(())
  }

  /// Process id, if started.
  pub fn id(&self) -> Option<u32> {
    self.child.as_ref().map(Child::id)
  }

  /// The log so far.
  pub fn log(&self) -> String {
    fs::read_to_string(&self.log).unwrap_or_default()
  }

  /// Path of the settings file.
  pub fn settings(&self) -> &Path {
    &self.settings
  }

  /// Sends a signal to the process, if started.
  pub fn signal(&self, signal: i32) {
    let Some(id) = self.id().and_then(|id| i32::try_from(id).ok()) else {
      return;
    };
    // SAFETY: kill(2) takes two integers; the id is that of our own child, not yet waited for.
    unsafe { libc::kill(id, signal) };
  }

  /// Kills the process with SIGKILL.
  pub fn kill(&mut self) {
    if let Some(mut child) = self.child.take() {
      let _ = child.kill();
      let _ = child.wait();
    }
  }

  /// Exit status, if the process has exited without `kill`.
  pub fn ended(&mut self) -> Option<ExitStatus> {
    self.child.as_mut()?.try_wait().ok().flatten()
  }
}

impl Drop for BoxProcess {
  fn drop(&mut self) {
    self.kill();
  }
}

/// A running deployment.
pub struct Deployment {
  /// The key-value service.
  pub key_value: KeyValueStandIn,
  /// Faults of the key-value front end of each hall.
  pub doors: BTreeMap<String, DoorFaults>,
  /// The box list.
  pub box_list: BoxListStandIn,
  /// The endpoints, by name.
  pub endpoints: BTreeMap<String, Endpoint>,
  /// HTTP servers of the endpoints, by name; killing one simulates a crash.
  pub hosts: BTreeMap<String, Host>,
  /// The boxes, by name.
  pub boxes: BTreeMap<String, BoxProcess>,
  program: PathBuf,
  _platform: Vec<Host>,
  folder: TempDir,
}

/// URLs of the platform's services.
pub(crate) struct PlatformUrls {
  pub(crate) key_value: String,
  pub(crate) box_list: String,
}

impl Deployment {
  /// Starts a plan. Boxes may not be ready yet on return.
  pub fn start(plan: &Plan) -> io::Result<Self> {
    let folder = tempfile::tempdir()?;
    let key_value = KeyValueStandIn::default();
    let organisation = format!("{{\"keys_sha256\": [\"{}\"]}}", hash_key(CALLER_KEY));
    key_value.put("rillford/configuration/platform", &plan.platform_document);
    let key = format!("rillford/configuration/organisations/{ORGANISATION}");
    key_value.put(&key, &organisation);
    let box_list = BoxListStandIn::default();
    let list_host = Host::start(box_list.router())?;
    let mut platform = Vec::new();
    let mut doors = BTreeMap::new();
    let mut endpoints = BTreeMap::new();
    let mut hosts = BTreeMap::new();
    let mut sections = String::new();
    for hall in &plan.halls {
      let (router, faults) = key_value.door();
      let host = Host::start(router)?;
      doors.insert(hall.name.clone(), (faults, host.url()));
      platform.push(host);
      for (name, endpoint) in &hall.endpoints {
        let (endpoint, host, section) = start_endpoint(&hall.name, name, endpoint)?;
        sections.push_str(&section);
        endpoints.insert(name.clone(), endpoint);
        hosts.insert(name.clone(), host);
      }
    }
    let authority = Authority::new()?;
    let mut boxes = BTreeMap::new();
    for hall in &plan.halls {
      let urls = PlatformUrls {
        box_list: format!("{}/boxes", list_host.url()),
        key_value: doors[&hall.name].1.clone(),
      };
      for name in &hall.boxes {
        authority.issue(folder.path(), name)?;
        let process = prepare_box(&folder, plan, &hall.name, name, &urls, &sections)?;
        boxes.insert(name.clone(), process);
      }
    }
    platform.push(list_host);
    let mut deployment = Self {
      _platform: platform,
      box_list,
      boxes,
      doors: doors
        .into_iter()
        .map(|(hall, (faults, _))| (hall, faults))
        .collect(),
      endpoints,
      folder,
      hosts,
      key_value,
      program: plan.program.clone(),
    };
    deployment.list_all();
    if plan.start_boxes {
      let names = deployment.boxes.keys().cloned().collect::<Vec<_>>();
      for name in names {
        deployment.start_box(&name)?;
      }
    }
    Ok(deployment)
  }

  /// The folder of settings, keys and logs.
  pub fn folder(&self) -> &Path {
    self.folder.path()
  }

  /// Puts all boxes into the box list.
  pub fn list_all(&self) {
    let entries = self
      .boxes
      .iter()
      .map(|(name, process)| BoxEntry {
        hall: process.hall.as_str().into(),
        leaving: false,
        name: name.as_str().into(),
        peer_address: process.relay.address().to_string().into(),
      })
      .collect();
    self.box_list.set(entries);
  }

  /// Starts the process of a box.
  pub fn start_box(&mut self, name: &str) -> io::Result<()> {
    match self.boxes.get_mut(name) {
      Some(process) => process.start(&self.program),
      None => Err(io::Error::other(format!("no box {name}"))),
    }
  }

  /// Waits until all started boxes are ready. Returns false if they are not within `timeout`.
  pub async fn ready(&self, timeout: Duration) -> bool {
    let caller = crate::Caller::new(CALLER_KEY);
    crate::eventually(timeout, async || {
      for process in self.boxes.values().filter(|process| process.id().is_some()) {
        if !caller.is_ready(&process.url()).await {
          return false;
        }
      }
      true
    })
    .await
  }

  /// An engine by name.
  pub fn engine(&self, name: &str) -> Option<&EngineStandIn> {
    match self.endpoints.get(name) {
      Some(Endpoint::Engine(engine)) => Some(engine),
      _ => None,
    }
  }

  /// A plain service by name.
  pub fn service(&self, name: &str) -> Option<&ServiceStandIn> {
    match self.endpoints.get(name) {
      Some(Endpoint::Service(service)) => Some(service),
      _ => None,
    }
  }

  /// All engines.
  pub fn engines(&self) -> impl Iterator<Item = &EngineStandIn> {
    self
      .endpoints
      .values()
      .filter_map(|endpoint| match endpoint {
        Endpoint::Engine(engine) => Some(engine),
        Endpoint::Service(_) => None,
      })
  }

  /// Number of attempts held by all engines.
  pub fn held(&self) -> usize {
    self.engines().map(|engine| engine.held().len()).sum()
  }

  /// Cuts all links between boxes of two halls.
  pub fn cut_halls(&self, one: &str, other: &str) {
    for process in self.boxes.values() {
      let remote_hall = if process.hall == one {
        other
      } else if process.hall == other {
        one
      } else {
        continue;
      };
      let senders = self
        .boxes
        .values()
        .filter(|peer| peer.hall == remote_hall)
        .map(|peer| peer.peers);
      process.relay.cut(senders);
    }
  }

  /// Cuts all links between a box and the others.
  pub fn cut_box(&self, name: &str) {
    for (other, process) in &self.boxes {
      let senders = self
        .boxes
        .iter()
        .filter(|(peer, _)| other == name || *peer == name)
        .map(|(_, peer)| peer.peers);
      process.relay.cut(senders);
    }
  }

  /// Restores all links.
  pub fn mend_links(&self) {
    for process in self.boxes.values() {
      process.relay.cut([]);
    }
  }
}

fn start_endpoint(
  hall: &str,
  name: &str,
  plan: &EndpointPlan,
) -> io::Result<(Endpoint, Host, String)> {
  match plan {
    EndpointPlan::Engine(options) => {
      let engine = EngineStandIn::new(options.clone());
      let host = Host::start(engine.router())?;
      let role = match options.role {
        Role::Prefill => "prefill",
        Role::Decode => "decode",
      };
      let section = format!(
        "\n[[endpoint]]\nname = \"{name}\"\nhall = \"{hall}\"\nkind = \"engine\"\nrole = \"{role}\"\n\
         models = [\"lecture\"]\nurl = \"{}\"\nseats = {}\nchecks_fence = {}\n\
         prefill_tokens_per_s = {}\nkv_bytes_per_token = {}\nlink_bytes_per_s = {}\n",
        host.url(),
        options.slots,
        options.checks_fence,
        options.prefill_tokens_per_s,
        options.kv_bytes_per_token,
        options.link_bytes_per_s,
      );
      Ok((Endpoint::Engine(engine), host, section))
    }
    EndpointPlan::Service(service) => {
      let slots = 32;
      let stand_in = ServiceStandIn::new(slots);
      let host = Host::start(stand_in.router())?;
      let section = format!(
        "\n[[endpoint]]\nname = \"{name}\"\nhall = \"{hall}\"\nkind = \"service\"\n\
         service = \"{service}\"\nurl = \"{}\"\nseats = {slots}\n",
        host.url(),
      );
      Ok((Endpoint::Service(stand_in), host, section))
    }
  }
}

/// Writes the settings of a box and starts its relay, but not its process.
pub(crate) fn prepare_box(
  folder: &TempDir,
  plan: &Plan,
  hall: &str,
  name: &str,
  urls: &PlatformUrls,
  endpoints: &str,
) -> io::Result<BoxProcess> {
  let [callers, administration, peers] = own_addresses();
  let relay = Relay::start(peers)?;
  let mut text = String::new();
  let _ = write!(
    text,
    "[box]\nname = \"{name}\"\nhall = \"{hall}\"\n\n\
     [listen]\ncallers = \"{callers}\"\nadministration = \"{administration}\"\npeers = \"{peers}\"\n\n\
     [peers]\ncertificate = \"{name}.pem\"\nkey = \"{name}.key\"\nauthority = \"authority.pem\"\n\n\
     [platform]\nkey_value = \"{}\"\nbox_list = \"{}\"\ncall_ms = 500\nlease_ms = {}\n\n\
     [administration]\nkeys_sha256 = [\"{}\"]\n\n[log]\nlevel = \"debug\"\n\n{}{endpoints}",
    urls.key_value,
    urls.box_list,
    plan.lease_ms,
    hash_key(ADMIN_KEY),
    plan.more_settings,
  );
  let settings = folder.path().join(format!("{name}.toml"));
  fs::write(&settings, text)?;
  Ok(BoxProcess {
    administration,
    callers,
    child: None,
    hall: hall.into(),
    log: folder.path().join(format!("{name}.log")),
    peers,
    relay,
    settings,
  })
}
