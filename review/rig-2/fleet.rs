//! The project's boxes as processes, with settings as the platform fills them in.

use crate::{http, store::Store, world::World};
use std::{
  fs::{self, File},
  net::{SocketAddr, TcpListener},
  path::PathBuf,
  process::{Child, Command, Stdio},
  sync::{
    Arc, Mutex,
    atomic::{AtomicU16, Ordering},
  },
  thread,
  time::Duration,
};

/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
const SIGTERM: i32 = 15;

unsafe extern "C" {
  fn kill(pid: i32, signal: i32) -> i32;
}

/// The processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that still run.
pub fn end_all() {
  for pid in RUNNING.lock().unwrap().drain(..) {
    // SAFETY: the process is a child of this one that was not waited for.
    unsafe { kill(pid as i32, 9) };
  }
}

/// A free address, at a port that no other call of this process returns.
fn free_address() -> SocketAddr {
  static NEXT: AtomicU16 = AtomicU16::new(0);
  loop {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let first = (std::process::id() * 97 % 200) as u16 * 100;
    let port = PORTS.start + (first + number) % (PORTS.end - PORTS.start);
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    if TcpListener::bind(address).is_ok() {
      return address;
    }
  }
}

/// How long boxes may take until they are ready.
const READY_MS: u64 = 15_000;

pub struct Bounds {
  pub contact_ms: u64,
  pub configuration_ms: u64,
  pub retry_slack: u64,
  pub box_mb: u64,
  pub overage: Option<(f64, u64)>,
}

pub struct Fleet {
  pub boxes: Vec<RunningBox>,
  directory: PathBuf,
}

pub struct RunningBox {
  pub name: String,
  pub callers: SocketAddr,
  ready: SocketAddr,
  child: Child,
}

impl Fleet {
  /// Starts boxes in the zones by turns, and waits until all are ready.
  pub fn start(
    program: &str,
    count: usize,
    zones: &[&str],
    bounds: &Bounds,
    store: &Store,
    world: &Arc<World>,
  ) -> Result<Fleet, String> {
    let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
    let mut fleet = Fleet {
      boxes: Vec::new(),
      directory,
    };
    for number in 0..count {
      let zone = zones[number % zones.len()];
      let name = format!("front-{zone}-{}", number / zones.len() + 1);
      let started = fleet.start_box(program, &name, zone, zones, bounds, store);
      fleet.boxes.push(started?);
    }
    let until_ms = world.now_ms() + READY_MS;
    while !fleet.boxes.iter().all(RunningBox::is_ready) {
      if world.now_ms() > until_ms {
        return Err("boxes are not ready".into());
      }
      thread::sleep(Duration::from_millis(50));
    }
    world.log(format!("{count} boxes are ready"));
    Ok(fleet)
  }

  fn start_box(
    &self,
    program: &str,
    name: &str,
    zone: &str,
    zones: &[&str],
    bounds: &Bounds,
    store: &Store,
  ) -> Result<RunningBox, String> {
    let addresses: Vec<SocketAddr> = (0..4).map(|_| free_address()).collect();
    let regions: String = zones
      .iter()
      .map(|zone| format!("\"{zone}\" = \"north\"\n"))
      .collect();
    let overage = bounds.overage.map_or(String::new(), |(share, units)| {
      format!("overage = {share:?}\nslack_units = {units}\nfair_shares = \"by_configuration\"\n")
    });
    let settings = format!(
      "[box]\nname = \"{name}\"\nhall = \"{zone}\"\n\n[regions]\n{regions}\n[listen]\ncallers = \"{}\"\nready = \"{}\"\nboxes = \"{}\"\nmetrics = \"{}\"\n\n[store]\naddress = \"{}\"\nleast_lease_ms = 1000\n\n[bounds]\nstop_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = {}\norder_gap_ms = 3000\ncontact_ms = {}\nconfiguration_ms = {}\n\n[endpoints]\nheartbeat_ms = 1200\n\n[limits]\nreturn_order = \"by_configuration\"\n{overage}\n[engines]\nprefill_share = 0.25\n\n[prefill_queue]\nenabled = \"by_configuration\"\n\n[memory]\nbox_mb = {}\nonly_under = \"pressure\"\nrules = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\",\"platform\"]\n",
      addresses[0],
      addresses[1],
      addresses[2],
      addresses[3],
      store.address,
      bounds.retry_slack,
      bounds.contact_ms,
      bounds.configuration_ms,
      bounds.box_mb,
    );
    let path = self.directory.join(format!("{name}.toml"));
    fs::write(&path, settings).map_err(|error| error.to_string())?;
    let log = File::create(self.directory.join(format!("{name}.log")));
    let log = log.map_err(|error| error.to_string())?;
    let child = Command::new(program)
      .args(["gateway", "--settings"])
      .arg(&path)
      .stdin(Stdio::null())
      .stdout(log.try_clone().map_err(|error| error.to_string())?)
      .stderr(log)
      .spawn()
      .map_err(|error| format!("{program}: {error}"))?;
    RUNNING.lock().unwrap().push(child.id());
    Ok(RunningBox {
      name: name.into(),
      callers: addresses[0],
      ready: addresses[1],
      child,
    })
  }

  /// The processor time that each box has used, as the kernel counts it.
  pub fn processor_ticks(&self) -> Vec<u64> {
    let of_box = |running: &RunningBox| {
      let text = fs::read_to_string(format!("/proc/{}/stat", running.child.id()));
      let text = text.unwrap_or_default();
      let figures = text.rsplit(')').next().unwrap_or_default();
      let mut figures = figures.split_whitespace().skip(11);
      let mut next = || {
        figures
          .next()
          .and_then(|text| text.parse().ok())
          .unwrap_or(0)
      };
      next() + next()
    };
    self.boxes.iter().map(of_box).collect()
  }

  /// The number of a box's log lines that hold a text.
  pub fn count_logged(&self, text: &str) -> Vec<(String, usize)> {
    let of_box = |running: &RunningBox| {
      let path = self.directory.join(format!("{}.log", running.name));
      let log = fs::read_to_string(path).unwrap_or_default();
      let count = log.lines().filter(|line| line.contains(text)).count();
      (running.name.clone(), count)
    };
    self.boxes.iter().map(of_box).collect()
  }
}

impl RunningBox {
  /// Asks the process to stop, as the platform does.
  pub fn terminate(&self) {
    // SAFETY: the process is a child of this one that was not waited for.
    unsafe { kill(self.child.id() as i32, SIGTERM) };
  }

  fn is_ready(&self) -> bool {
    let request = http::request_bytes("GET", "/ready", "ready", &[], b"");
    http::exchange(self.ready, &request, Duration::from_millis(300)).status == Some(200)
  }
}

impl Drop for Fleet {
  fn drop(&mut self) {
    for running in &mut self.boxes {
      let _ = running.child.kill();
      let _ = running.child.wait();
      let pid = running.child.id();
      RUNNING.lock().unwrap().retain(|other| *other != pid);
    }
    match std::env::var_os("REVIEW_KEEP") {
      Some(_) => println!("kept: {}", self.directory.display()),
      None => drop(fs::remove_dir_all(&self.directory)),
    }
  }
}
