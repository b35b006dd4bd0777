//! A box of the project: its program as a process of its own, with the settings that the platform would fill in.

use {
  super::{
    http::get_status,
    record::{Record, lock},
  },
  std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
      Arc, Mutex,
      atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
  },
};

/// The program and its arguments, as the deploy file has them; the settings file is in the run's folder.
const PROGRAM: &str = "target/release/rillford";
/// Ports, alike on all boxes.
const FRONT_PORT: u16 = 8_149;
const READY_PORT: u16 = 8_141;
const BOXES_PORT: u16 = 7_380;
const METRICS_PORT: u16 = 9_102;
/// Interval of the platform's readiness checks, and the failures in a row after which a box gets no new channels.
pub const READY_INTERVAL: Duration = Duration::from_millis(1_000);
const READY_TIMEOUT: Duration = Duration::from_millis(900);
const MAX_MISSES: u32 = 2;

/// How a process ended that received SIGTERM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stopped {
  ByItself,
  ByKill,
}

/// What happened to a box's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifeEvent {
  Started,
  Terminated,
  Killed,
}

/// A box, which may be restarted.
pub struct GatewayBox {
  pub name: String,
  pub zone: String,
  pub front: SocketAddr,
  ready: SocketAddr,
  settings: PathBuf,
  log: PathBuf,
  process: Mutex<Option<Child>>,
  is_in: AtomicBool,
  life: Mutex<Vec<(u64, LifeEvent)>>,
  record: Arc<Record>,
}

impl GatewayBox {
  /// Writes the settings of a box and starts it.
  pub fn start(
    place: (Ipv4Addr, &str),
    zones: &[&str],
    store: SocketAddr,
    folder: &Path,
    record: &Arc<Record>,
  ) -> io::Result<Self> {
    let (ip, zone) = place;
    let name = format!("front-{zone}-{}", ip.octets()[3]);
    let started = Self {
      front: (ip, FRONT_PORT).into(),
      is_in: AtomicBool::new(true),
      life: Mutex::default(),
      log: folder.join(format!("{name}.log")),
      process: Mutex::default(),
      ready: (ip, READY_PORT).into(),
      record: record.clone(),
      settings: folder.join(format!("{name}.toml")),
      zone: zone.into(),
      name,
    };
    let text = settings_text(&started.name, zone, ip, zones, store);
    fs::write(&started.settings, text)?;
    started.spawn()?;
    Ok(started)
  }

  fn spawn(&self) -> io::Result<()> {
    let log = File::options().create(true).append(true).open(&self.log)?;
    let mut command = Command::new(PROGRAM);
    command
      .args(["gateway", "--settings"])
      .arg(&self.settings)
      .stderr(log.try_clone()?)
      .stdout(Stdio::from(log));
    let child = command.spawn()?;
    self.live(LifeEvent::Started);
    *lock(&self.process) = Some(child);
    Ok(())
  }

  fn live(&self, event: LifeEvent) {
    let now_ms = self.record.now_ms();
    lock(&self.life).push((now_ms, event));
    self.record.line(&format!("{}: {event:?}", self.name));
  }

  /// Whether the process ran without a start or a signal throughout the time before a moment.
  pub fn is_in_touch(&self, at_ms: u64, contact_ms: u64) -> bool {
    let life = lock(&self.life);
    let before = life.iter().filter(|(time_ms, _)| *time_ms <= at_ms);
    let last = before.last();
    last.is_some_and(|(time_ms, event)| {
      *event == LifeEvent::Started && *time_ms + contact_ms <= at_ms
    })
  }

  /// Sends SIGTERM, waits for the end of the process, and kills it once the grace time is over.
  pub fn terminate(&self, grace: Duration) -> Stopped {
    self.live(LifeEvent::Terminated);
    let is_sent = self.signal("TERM");
    let until = Instant::now() + grace;
    while is_sent && Instant::now() < until {
      let mut process = lock(&self.process);
      let child = process.as_mut();
      if child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
        process.take();
        self.record.line(&format!("{}: process ended", self.name));
        return Stopped::ByItself;
      }
      drop(process);
      sleep(Duration::from_millis(20));
    }
    self.kill();
    Stopped::ByKill
  }

  /// Sends a signal to the process; returns whether that succeeded.
  fn signal(&self, name: &str) -> bool {
    let process = lock(&self.process);
    let Some(child) = process.as_ref() else {
      return false;
    };
    let command = format!("kill -{name} {}", child.id());
    let sent = Command::new("sh").args(["-c", &command]).status();
    sent.is_ok_and(|status| status.success())
  }

  /// Kills the process; it starts again with [`restart`](Self::restart).
  pub fn kill(&self) {
    if let Some(mut child) = lock(&self.process).take() {
      // Fails only for a process that has ended by itself.
      let _ = child.kill();
      let _ = child.wait();
      self.live(LifeEvent::Killed);
    }
  }

  /// Starts the process again.
  pub fn restart(&self) -> io::Result<()> {
    self.spawn()
  }

  /// Sends SIGHUP.
  pub fn hang_up(&self) {
    let is_sent = self.signal("HUP");
    self
      .record
      .line(&format!("{}: SIGHUP, sent: {is_sent}", self.name));
  }

  /// Whether the platform passes new channels to the box.
  pub fn is_in(&self) -> bool {
    self.is_in.load(Ordering::Relaxed)
  }

  /// Checks the readiness until the process ends, as the platform does.
  pub fn check_readiness(&self) {
    let mut misses = 0;
    loop {
      let began = Instant::now();
      misses = match get_status(self.ready, "/ready", READY_TIMEOUT) {
        Some(200) => 0,
        _ => misses + 1,
      };
      let is_in = misses < MAX_MISSES;
      if self.is_in.swap(is_in, Ordering::Relaxed) != is_in {
        self.record.line(&format!("{}: in: {is_in}", self.name));
      }
      sleep(READY_INTERVAL.saturating_sub(began.elapsed()));
    }
  }

  /// Waits until the box is ready.
  pub fn wait_until_ready(&self, limit: Duration) -> io::Result<()> {
    let until = Instant::now() + limit;
    while get_status(self.ready, "/ready", READY_TIMEOUT) != Some(200) {
      if Instant::now() > until {
        return Err(io::Error::other(format!("{} is not ready", self.name)));
      }
      sleep(Duration::from_millis(50));
    }
    Ok(())
  }
}

impl Drop for GatewayBox {
  fn drop(&mut self) {
    self.kill();
  }
}

/// A loopback address on which all ports of a box are free.
pub fn has_free_ports(ip: Ipv4Addr) -> bool {
  let ports = [FRONT_PORT, READY_PORT, BOXES_PORT, METRICS_PORT];
  ports
    .iter()
    .all(|port| TcpListener::bind((ip, *port)).is_ok())
}

/// The settings of a box, as `deploy/box.toml.template` gives them for a deployment with these bounds.
fn settings_text(
  name: &str,
  zone: &str,
  ip: Ipv4Addr,
  zones: &[&str],
  store: SocketAddr,
) -> String {
  let regions: String = zones
    .iter()
    .map(|zone| format!("\"{zone}\" = \"oslo\"\n"))
    .collect();
  format!(
    "[box]\nname = \"{name}\"\nhall = \"{zone}\"\n\n[regions]\n{regions}\n\
     [listen]\ncallers = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\nboxes = \"{ip}:{BOXES_PORT}\"\n\
     metrics = \"{ip}:{METRICS_PORT}\"\n\n\
     [store]\naddress = \"{store}\"\nleast_lease_ms = 1000\n\n\
     [bounds]\nstop_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 56\norder_gap_ms = 3000\n\
     contact_ms = 3000\nconfiguration_ms = 2000\n\n\
     [limits]\nreturn_order = \"by_configuration\"\n\n[engines]\nprefill_share = 0.25\n\n\
     [prefill_queue]\nenabled = \"by_configuration\"\n\n\
     [memory]\nbox_mb = 110\nonly_under = \"pressure\"\nrules = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\
     \"recover\",\"split\",\"stream\",\"engine\",\"platform\"]\n"
  )
}
