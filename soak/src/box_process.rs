//! One gateway box: a process of the real program, with a proxied link in front of its caller port and its store.

use {
  super::{
    caller_key::{OVERAGE, SLACK_UNITS},
    disturbance::Target,
    error::{Error, Result},
    profile::Profile,
    recorder::Recorder,
    records::PlannedStop,
  },
  stand_ins::{Link, PlatformStore, Target as LinkTarget},
  std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Stdio,
    sync::{
      Arc, PoisonError,
      atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::{
    process::{Child, Command},
    sync::Mutex,
    time::{sleep, timeout},
  },
};

/// Seconds that a box has to stop, below the platform's `graceS` of 8.
const STOP_S: f64 = 6.0;
/// Additional time before a process that did not stop in time is killed.
const KILL_MARGIN: Duration = Duration::from_millis(1_000);
/// Turns of a slow process: it runs at about a sixth of its speed.
const SLOW_SUSPENDED: Duration = Duration::from_millis(45);
const SLOW_RUNNING: Duration = Duration::from_millis(10);
/// What stands for the endpoints among the indices of boxes.
const ENGINE_HOST_INDEX: usize = 249;
/// Listen addresses of a box.
const ADDRESSES: usize = 4;
/// Ports between those of a box and those of the one that takes its place.
const GENERATION_PORTS: u16 = 100;
/// First port of the links between boxes.
const BOX_LINK_PORTS: u16 = 20_000;
/// Prefixes of store entries.
const ENDPOINT_PREFIX: &str = "servers/";
const BOX_PREFIX: &str = "rillford/boxes/";
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Bounds of the boxes of a run.
#[derive(Clone, Copy)]
pub(crate) struct BoxBounds {
  /// The boxes' memory, which bounds what they hold for callers; `None` for no bound.
  pub(crate) memory_mb: Option<u64>,
  /// Retries that are allowed in a window, as a share of the requests, and in addition to that.
  pub(crate) retry_ratio: f64,
  pub(crate) retry_slack: f64,
}

/// Settings that all boxes of a run share.
pub(crate) struct BoxPlan<'a> {
  pub(crate) program: &'a Path,
  /// Directory of the settings files and logs.
  pub(crate) directory: &'a Path,
  pub(crate) store: &'a PlatformStore,
  pub(crate) recorder: &'a Recorder,
  pub(crate) bounds: BoxBounds,
  pub(crate) profile: Profile,
  /// Whether boxes reach each other through links.
  pub(crate) has_box_links: bool,
}

pub(crate) struct BoxProcess {
  pub(crate) index: usize,
  /// Link through which callers connect.
  pub(crate) caller_link: Link,
  /// Number of boxes that it has taken the place of.
  generation: AtomicU64,
  hall: &'static str,
  bounds: BoxBounds,
  /// Whether its engines may restart under their ids without naming their starts.
  unnamed_restarts: bool,
  pub(crate) store_link: Link,
  /// Links of other boxes to this one, each with the index of the other box.
  pub(crate) box_links: Vec<(usize, Link)>,
  /// The target of these links.
  box_target: LinkTarget,
  recorder: Recorder,
  program: PathBuf,
  settings: PathBuf,
  log: PathBuf,
  /// Number of processes started so far.
  process_count: AtomicU64,
  /// `None` while the box is down.
  process: Mutex<Option<Child>>,
}

impl BoxProcess {
  /// Writes a box's settings file and starts its process.
  pub(crate) async fn start(plan: &BoxPlan<'_>, index: usize) -> Result<Self> {
    let [direct, _, boxes, _] = loopback_addresses::<ADDRESSES>(index, 0);
    let view = plan.store.start_view(store_view(index, plan.has_box_links));
    let view = view.await;
    let box_target = Arc::new(std::sync::Mutex::new(boxes));
    let mut box_links = Vec::new();
    for from in (0..plan.profile.box_count()).filter(|from| plan.has_box_links && *from != index) {
      let address = SocketAddr::from((box_host(from), box_link_port(index)));
      let link = Link::open_at(address, &box_target).await;
      box_links.push((from, link.map_err(Error::Listen)?));
    }
    let store_link = open_link(view.map_err(Error::Listen)?.address).await?;
    let caller_link = open_link(direct).await?;
    let hall = plan.profile.hall_of_box(index).name();
    let name = format!("{hall}-{index:03}");
    let started = Self {
      caller_link,
      index,
      bounds: plan.bounds,
      box_links,
      box_target,
      generation: AtomicU64::new(0),
      hall,
      unnamed_restarts: plan.profile.starts.may_be_unnamed(),
      recorder: plan.recorder.clone(),
      process_count: AtomicU64::new(0),
      log: plan.directory.join(format!("{name}.log")),
      process: Mutex::new(None),
      program: plan.program.into(),
      settings: plan.directory.join(format!("{name}.toml")),
      store_link,
    };
    started.write_settings(&name)?;
    *started.process.lock().await = Some(started.spawn()?);
    Ok(started)
  }

  /// The listen addresses: for callers, without a link, for the readiness probe, for other boxes and for metrics.
  fn addresses(&self) -> [SocketAddr; ADDRESSES] {
    loopback_addresses(self.index, self.generation.load(Ordering::Relaxed))
  }

  /// Listen address for callers, without a link.
  pub(crate) fn direct(&self) -> SocketAddr {
    self.addresses()[0]
  }

  /// Listen address of the readiness probe.
  pub(crate) fn ready(&self) -> SocketAddr {
    self.addresses()[1]
  }

  /// Listen address of the metrics.
  pub(crate) fn metrics(&self) -> SocketAddr {
    self.addresses()[3]
  }

  fn write_settings(&self, name: &str) -> Result {
    let [callers, ready, boxes, metrics] = self.addresses();
    let addresses = [callers, ready, boxes, metrics, self.store_link.address];
    let contents = settings_text(
      name,
      self.hall,
      addresses,
      self.bounds,
      self.unnamed_restarts,
    );
    std::fs::write(&self.settings, contents).map_err(|source| Error::File {
      path: self.settings.clone(),
      source,
    })
  }

  /// Number of the current process of this box, or of the last one while it is down.
  pub(crate) fn process_number(&self) -> u64 {
    self.process_count.load(Ordering::Relaxed)
  }

  fn spawn(&self) -> Result<Child> {
    let log = File::options()
      .create(true)
      .append(true)
      .open(&self.log)
      .map_err(|source| Error::File {
        path: self.log.clone(),
        source,
      })?;
    self.process_count.fetch_add(1, Ordering::Relaxed);
    Command::new(&self.program)
      .args(["gateway", "--settings"])
      .arg(&self.settings)
      .stdout(Stdio::from(log))
      .stderr(Stdio::inherit())
      .kill_on_drop(true)
      .spawn()
      .map_err(|source| Error::Program {
        path: self.program.clone(),
        source,
      })
  }

  /// Sends a signal if the process is up.
  async fn signal(&self, signal: i32) -> Option<()> {
    let process = self.process.lock().await;
    let id = process.as_ref()?.id()?;
    // SAFETY: the process is a child of this one and has not been waited for, because the lock is held.
    let sent = unsafe { libc::kill(id.cast_signed(), signal) };
    (sent == 0).then_some(())
  }

  /// Kills the process and restarts it after `down_ms`.
  pub(crate) async fn kill(&self, down_ms: u64) -> Result {
    let Some(mut child) = self.process.lock().await.take() else {
      return Ok(());
    };
    let _disturbed = self.recorder.begin_disturbance(Target::Box(self.index));
    child.kill().await.map_err(Error::Wait)?;
    sleep(Duration::from_millis(down_ms)).await;
    self.restart().await
  }

  /// Kills the process for good, and starts another box at other addresses after `down_ms`.
  pub(crate) async fn replace(&self, down_ms: u64) -> Result {
    let Some(mut child) = self.process.lock().await.take() else {
      return Ok(());
    };
    let _disturbed = self.recorder.begin_disturbance(Target::Box(self.index));
    child.kill().await.map_err(Error::Wait)?;
    let generation = self.generation.fetch_add(1, Ordering::Relaxed) + 1;
    self.write_settings(&format!("{}-{:03}-{generation}", self.hall, self.index))?;
    let [direct, _, boxes, _] = self.addresses();
    self.caller_link.set_target(direct);
    *self
      .box_target
      .lock()
      .unwrap_or_else(PoisonError::into_inner) = boxes;
    sleep(Duration::from_millis(down_ms)).await;
    self.restart().await
  }

  /// Sends SIGTERM, waits for the process to exit, and restarts it.
  pub(crate) async fn stop(&self) -> Result {
    let leaving = self.recorder.begin_disturbance(Target::Leaving(self.index));
    if self.signal(libc::SIGTERM).await.is_none() {
      return Ok(());
    }
    // The lock is not held while waiting, so that further signals can be sent.
    let exit_timeout = Duration::from_secs_f64(STOP_S) + KILL_MARGIN;
    let has_exited = timeout(exit_timeout, self.wait_for_exit()).await.is_ok();
    let Some(mut child) = self.process.lock().await.take() else {
      return Ok(());
    };
    if !has_exited {
      child.kill().await.map_err(Error::Wait)?;
    }
    let status = child.wait().await.map_err(Error::Wait)?;
    let stop = PlannedStop {
      box_index: self.index,
      exited_ms: self.recorder.now_ms(),
      is_clean: has_exited && status.success(),
      signalled_ms: leaving.began_ms(),
    };
    self.recorder.records().stops.push(stop);
    sleep(RESTART_DELAY).await;
    self.restart().await
  }

  async fn wait_for_exit(&self) {
    loop {
      let mut process = self.process.lock().await;
      let Some(child) = process.as_mut() else {
        return;
      };
      // A process whose state cannot be read counts as exited; waiting for it later reports the error.
      if !matches!(child.try_wait(), Ok(None)) {
        return;
      }
      drop(process);
      sleep(Duration::from_millis(20)).await;
    }
  }

  async fn restart(&self) -> Result {
    let mut process = self.process.lock().await;
    if process.is_none() {
      *process = Some(self.spawn()?);
    }
    Ok(())
  }

  /// Suspends the process for `for_ms`.
  pub(crate) async fn pause(&self, for_ms: u64) {
    let _disturbed = self.recorder.begin_disturbance(Target::Box(self.index));
    if self.signal(libc::SIGSTOP).await.is_none() {
      return;
    }
    sleep(Duration::from_millis(for_ms)).await;
    // The process may have been killed meanwhile.
    let _ = self.signal(libc::SIGCONT).await;
  }

  /// Suspends and resumes the process in short turns for `for_ms`.
  pub(crate) async fn slow(&self, for_ms: u64) {
    let _disturbed = self.recorder.begin_disturbance(Target::Box(self.index));
    let until = Instant::now() + Duration::from_millis(for_ms);
    while Instant::now() < until {
      // The process may be down meanwhile.
      let _ = self.signal(libc::SIGSTOP).await;
      sleep(SLOW_SUSPENDED).await;
      let _ = self.signal(libc::SIGCONT).await;
      sleep(SLOW_RUNNING).await;
    }
  }

  /// Sends SIGHUP, so that the process reads its settings again. Not a disturbance.
  pub(crate) async fn reload(&self) {
    // A process that is down reads its settings when it starts.
    let _ = self.signal(libc::SIGHUP).await;
  }
}

/// The settings of a box: its addresses for callers, readiness, other boxes and metrics, and the store's address.
fn settings_text(
  name: &str,
  hall: &str,
  addresses: [SocketAddr; 5],
  bounds: BoxBounds,
  unnamed_restarts: bool,
) -> String {
  let [callers, ready, boxes, metrics, store] = addresses;
  let BoxBounds {
    memory_mb,
    retry_ratio,
    retry_slack,
  } = bounds;
  let memory = memory_mb.map_or_else(String::new, |memory_mb| {
    format!("[memory]\nbox_mb = {memory_mb}\n")
  });
  format!(
    "[box]\nname = \"{name}\"\nhall = \"{hall}\"\n\
     [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\nboxes = \"{boxes}\"\nmetrics = \"{metrics}\"\n\
     [store]\naddress = \"{store}\"\nleast_lease_ms = 1000\n\
     [bounds]\nstop_s = {STOP_S:.1}\nretry_ratio = {retry_ratio:.2}\nretry_window_s = 10\nretry_slack = {retry_slack:.1}\n\
     order_gap_ms = 1000\ncontact_ms = 3000\nconfiguration_ms = 3000\n\
     [limits]\noverage = {OVERAGE}\nslack_units = {SLACK_UNITS:.1}\n\
     [endpoints]\nheartbeat_ms = 1200\nunnamed_restarts = {unnamed_restarts}\n\
     [engines]\nprefill_share = 0.25\n{memory}"
  )
}

/// The loopback host of a box: it listens there, and sees endpoints there.
pub(crate) fn box_host(index: usize) -> Ipv4Addr {
  let process = std::process::id();
  Ipv4Addr::new(
    127,
    160 + (process % 64) as u8,
    (process / 64 % 256) as u8,
    (index % 250) as u8 + 1,
  )
}

/// The loopback host at which the endpoints of a run listen; no box has it.
pub(crate) fn engine_host() -> Ipv4Addr {
  box_host(ENGINE_HOST_INDEX)
}

/// The index of the box with a loopback host.
pub(crate) fn box_index(host: IpAddr) -> usize {
  match host {
    IpAddr::V4(host) => usize::from(host.octets()[3].saturating_sub(1)),
    IpAddr::V6(_) => 0,
  }
}

/// Port of the links to a box, on the host of each other box.
fn box_link_port(index: usize) -> u16 {
  BOX_LINK_PORTS + index as u16
}

/// The store as a box sees it: endpoints, and other boxes where they have links, are at addresses on the box's own host.
fn store_view(index: usize, has_box_links: bool) -> impl Fn(&str, Vec<u8>) -> Vec<u8> {
  move |key, value| {
    if key.starts_with(ENDPOINT_PREFIX) {
      let text = String::from_utf8_lossy(&value);
      let host = box_host(index).to_string();
      text
        .replace(&Ipv4Addr::LOCALHOST.to_string(), &host)
        .into_bytes()
    } else if has_box_links && key.starts_with(BOX_PREFIX) {
      linked_box_entry(index, &value).unwrap_or(value)
    } else {
      value
    }
  }
}

/// The entry of a box with the address of a viewer's link to it. The viewer's own entry stays, and what is no entry.
fn linked_box_entry(viewer: usize, value: &[u8]) -> Option<Vec<u8>> {
  let (hall, address): (String, SocketAddr) = postcard::from_bytes(value).ok()?;
  let index = box_index(address.ip());
  if index == viewer {
    return None;
  }
  let linked = SocketAddr::from((box_host(viewer), box_link_port(index)));
  postcard::to_stdvec(&(hall, linked)).ok()
}

async fn open_link(target: SocketAddr) -> Result<Link> {
  Link::open(target).await.map_err(Error::Listen)
}

/// Addresses on a loopback IP of the box's own: a port that was free on 127.0.0.1 could be taken by an outgoing
/// connection before the box listens on it.
fn loopback_addresses<const COUNT: usize>(index: usize, generation: u64) -> [SocketAddr; COUNT] {
  let ip = box_host(index);
  let mut port = 7_000 + 10 * (index / 250) as u16 + GENERATION_PORTS * generation as u16;
  [(); COUNT].map(|()| {
    port += 1;
    SocketAddr::from((ip, port))
  })
}
