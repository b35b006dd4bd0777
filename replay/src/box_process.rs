//! A box: a process of the real program.

use {
  super::{
    box_settings::{BoxAddresses, BoxPlace, box_values},
    cpu_quota::{ProcessSlot, hold_to_share},
    deploy_file::DeployFile,
    error::{Error, Result},
    held_process::{HeldProcess, Holder},
    host::box_host,
    recorder::Recorder,
    site::Site,
  },
  std::{
    fs::File,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    sync::{
      Arc,
      atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering},
    },
    time::Duration,
  },
  tokio::{
    process::{Child, Command},
    sync::{Mutex, watch},
    time::{Instant, sleep},
  },
};

/// First port of a box. Each box that takes its place has the next ports, and after some the first ones again.
const FIRST_PORT: u16 = 7_000;
const GENERATION_PORTS: u16 = 20;
const GENERATIONS: u16 = 100;
/// Ports of the listeners, counted from a box's first one.
const CALLERS_PORT: u16 = 1;
const READY_PORT: u16 = 2;
const BOXES_PORT: u16 = 5;
/// Time until a process that ended by itself is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Interval at which a process is looked at.
const POLL: Duration = Duration::from_millis(20);
/// Tells a process where its settings are.
const SETTINGS_VARIABLE: &str = "RILLFORD_BOOT";
/// Variables that a process gets from this one.
const KEPT_VARIABLES: [&str; 3] = ["PATH", "HOME", "LANG"];

/// What all boxes of a replay share.
#[derive(Clone, Copy)]
pub struct BoxPlan<'a> {
  /// The program.
  pub program: &'a Path,
  /// How it is started.
  pub deploy: &'a DeployFile,
  /// Directory of the settings files and logs.
  pub directory: &'a Path,
  /// The deployment.
  pub site: &'a Site,
  /// Where starts and ends are noted.
  pub recorder: &'a Recorder,
}

/// A box. Its process is killed when this is dropped.
pub struct BoxProcess {
  place: BoxPlace,
  store: SocketAddr,
  program: PathBuf,
  directory: PathBuf,
  deploy: DeployFile,
  site: Site,
  recorder: Recorder,
  /// Whether it joins a system that runs already.
  joins: bool,
  /// Number of boxes that it has taken the place of.
  generation: AtomicU16,
  /// Number of processes started so far.
  process_count: AtomicU64,
  slot: ProcessSlot,
  /// Whether the process is to run; one that ends by itself is started again only then.
  is_wanted: AtomicBool,
  quota: std::sync::Mutex<Quota>,
  share: watch::Sender<Option<f64>>,
  has_quota_task: AtomicBool,
}

/// What the share of a core results from.
#[derive(Clone, Copy, Default)]
struct Quota {
  /// Whether the process is held to its machine's share at all times.
  is_on: bool,
  /// How many times slower it is.
  slow: Option<f64>,
}

impl BoxProcess {
  /// A box that is not started yet. `store` is the address at which it sees the store. Fails if there is no such program, or the
  /// directory can't be made.
  pub fn new(plan: &BoxPlan<'_>, place: BoxPlace, store: SocketAddr) -> Result<Self> {
    let program = plan
      .program
      .canonicalize()
      .map_err(|source| Error::Program {
        path: plan.program.into(),
        source,
      })?;
    std::fs::create_dir_all(plan.directory).map_err(|source| Error::File {
      path: plan.directory.into(),
      source,
    })?;
    Ok(Self {
      place,
      store,
      program,
      directory: plan.directory.into(),
      deploy: plan.deploy.clone(),
      site: plan.site.clone(),
      recorder: plan.recorder.clone(),
      joins: false,
      generation: AtomicU16::new(0),
      process_count: AtomicU64::new(0),
      slot: Arc::new(Mutex::new(None)),
      is_wanted: AtomicBool::new(false),
      quota: std::sync::Mutex::default(),
      share: watch::Sender::new(None),
      has_quota_task: AtomicBool::new(false),
    })
  }

  /// The same box, which joins a system that runs already.
  #[must_use]
  pub fn joining(mut self) -> Self {
    self.joins = true;
    self
  }

  /// Its place.
  pub fn place(&self) -> &BoxPlace {
    &self.place
  }

  /// Its listen addresses.
  pub fn addresses(&self) -> BoxAddresses {
    let host = box_host(self.place.index);
    let generation = self.generation.load(Ordering::Relaxed) % GENERATIONS;
    let first = FIRST_PORT + GENERATION_PORTS * generation;
    BoxAddresses {
      callers: (host, first + CALLERS_PORT).into(),
      ready: (host, first + READY_PORT).into(),
      boxes: (host, first + BOXES_PORT).into(),
      metrics: (host, self.deploy.metrics_port()).into(),
    }
  }

  /// Number of the current process, or of the last one while the box is down; the first is 1, and 0 stands for none.
  pub fn process_number(&self) -> u64 {
    self.process_count.load(Ordering::Relaxed)
  }

  /// The process id; `None` while the box is down.
  pub async fn process_id(&self) -> Option<u32> {
    self.slot.lock().await.as_ref()?.id()
  }

  /// Whether it has a process that has not ended.
  pub async fn is_up(&self) -> bool {
    match self.slot.lock().await.as_mut() {
      Some(process) => matches!(process.try_wait(), Ok(None)),
      None => false,
    }
  }

  /// Writes the settings and starts the process, if it is down. The process is killed when the thread that calls this ends. Fails
  /// if the settings can't be written, or the program can't be started.
  pub async fn start(&self) -> Result {
    self.is_wanted.store(true, Ordering::Relaxed);
    self.hold_to_quota();
    let mut slot = self.slot.lock().await;
    if slot.is_some() {
      return Ok(());
    }
    let child = self.spawn()?;
    let number = self.process_count.fetch_add(1, Ordering::Relaxed) + 1;
    *slot = Some(HeldProcess::new(child, number));
    let name = self.name();
    self
      .recorder
      .note(format!("box {name} starts, process {number}"));
    Ok(())
  }

  /// Kills the process, if it is up, and waits for its end. It stays down until it is started.
  pub async fn kill(&self) -> Result {
    self.is_wanted.store(false, Ordering::Relaxed);
    let Some(process) = self.slot.lock().await.take() else {
      return Ok(());
    };
    self.recorder.note(format!("box {} is killed", self.name()));
    process.kill().await.map_err(Error::Wait)
  }

  /// Sends SIGTERM and waits for the process to end; kills it after `grace`. It stays down until it is started. May be called
  /// again meanwhile, for a second SIGTERM.
  pub async fn terminate(&self, grace: Duration) -> Result {
    self.is_wanted.store(false, Ordering::Relaxed);
    let name = self.name();
    let number = {
      let mut slot = self.slot.lock().await;
      let Some(process) = slot.as_mut() else {
        return Ok(());
      };
      process.is_leaving = true;
      process.signal(libc::SIGTERM);
      process.number
    };
    self.recorder.note(format!("box {name} gets SIGTERM"));
    let until = Instant::now() + grace;
    while Instant::now() < until {
      if self.take_ended(number).await? {
        return Ok(());
      }
      sleep(POLL).await;
    }
    let process = {
      let mut slot = self.slot.lock().await;
      slot.take_if(|process| process.number == number)
    };
    let Some(process) = process else {
      return Ok(());
    };
    let grace_ms = grace.as_millis();
    self.recorder.note(format!(
      "box {name} has not ended in {grace_ms} ms and is killed"
    ));
    process.kill().await.map_err(Error::Wait)
  }

  /// Empties the slot if the process of a number has ended. Returns whether that process is gone.
  async fn take_ended(&self, number: u64) -> Result<bool> {
    let mut slot = self.slot.lock().await;
    let Some(process) = slot.as_mut().filter(|process| process.number == number) else {
      return Ok(true);
    };
    let Some(status) = process.try_wait().map_err(Error::Wait)? else {
      return Ok(false);
    };
    *slot = None;
    self
      .recorder
      .note(format!("box {} ended: {status}", self.name()));
    Ok(true)
  }

  /// Sends SIGHUP, if it is up.
  pub async fn hang_up(&self) {
    if let Some(process) = self.slot.lock().await.as_ref() {
      process.signal(libc::SIGHUP);
    }
  }

  /// Stops the process until it is resumed or replaced.
  pub async fn suspend(&self) {
    self.set_suspended(true).await;
  }

  /// Continues the process.
  pub async fn resume(&self) {
    self.set_suspended(false).await;
  }

  async fn set_suspended(&self, is_suspended: bool) {
    if let Some(process) = self.slot.lock().await.as_mut() {
      process.set_hold(Holder::Fault, is_suspended);
    }
  }

  /// Another box takes its place, at other addresses, from the next start on.
  pub async fn move_to_new_addresses(&self) {
    // A start reads the addresses while it holds the lock.
    let _slot = self.slot.lock().await;
    self.generation.fetch_add(1, Ordering::Relaxed);
  }

  /// Starts the process again, after a short delay, whenever it ended by itself. Does not return.
  pub async fn watch(&self) {
    loop {
      sleep(POLL).await;
      let Some(ended) = self.take_ended_by_itself().await else {
        continue;
      };
      self
        .recorder
        .note(format!("box {} ended by itself: {ended}", self.name()));
      sleep(RESTART_DELAY).await;
      if !self.is_wanted.load(Ordering::Relaxed) {
        continue;
      }
      if let Err(error) = self.start().await {
        self
          .recorder
          .note(format!("box {} is not started again: {error}", self.name()));
      }
    }
  }

  /// Empties the slot if the process has ended and was not told to. Returns how it ended.
  async fn take_ended_by_itself(&self) -> Option<String> {
    let mut slot = self.slot.lock().await;
    let process = slot.as_mut().filter(|process| !process.is_leaving)?;
    let ended = match process.try_wait() {
      Ok(None) => return None,
      Ok(Some(status)) => status.to_string(),
      Err(error) => error.to_string(),
    };
    *slot = None;
    Some(ended)
  }

  /// Makes it `factor` times slower than its machine's share of a core, or as fast as before.
  pub fn set_slow(&self, factor: Option<f64>) {
    self.change_quota(|quota| quota.slow = factor);
  }

  /// Holds it to its machine's share of a core, or not.
  pub fn set_cpu_quota(&self, is_on: bool) {
    self.change_quota(|quota| quota.is_on = is_on);
  }

  fn change_quota(&self, change: impl FnOnce(&mut Quota)) {
    let quota = {
      // Each change is one assignment.
      let mut quota = self
        .quota
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
      change(&mut quota);
      *quota
    };
    let machines = self.site.fronts_of(&self.place.zone);
    let share = machines.map_or(1.0, |machines| machines.cpu_share);
    self.share.send_replace(match quota.slow {
      Some(factor) => Some(share / factor.max(1.0)),
      None => quota.is_on.then_some(share),
    });
  }

  /// Starts the task that holds the box's processes to their share, once.
  fn hold_to_quota(&self) {
    if !self.has_quota_task.swap(true, Ordering::Relaxed) {
      tokio::spawn(hold_to_share(
        Arc::clone(&self.slot),
        self.share.subscribe(),
      ));
    }
  }

  /// The name of the box, or of the one that has taken its place.
  fn name(&self) -> String {
    let place = &self.place.name;
    match self.generation.load(Ordering::Relaxed) {
      0 => place.clone(),
      generation => format!("{place}-{generation}"),
    }
  }

  /// The fields of its settings file for the next start.
  fn values(&self) -> serde_json::Value {
    let has_started = self.process_number() > 0;
    let is_first_start = !self.joins && !has_started;
    let place = BoxPlace {
      name: self.name(),
      ..self.place.clone()
    };
    box_values(
      &self.site,
      &place,
      &self.addresses(),
      self.store,
      is_first_start,
    )
  }

  fn spawn(&self) -> Result<Child> {
    let values = self.values();
    let settings = self.directory.join(format!("{}.toml", self.place.name));
    let text = self.deploy.settings(&values);
    std::fs::write(&settings, text).map_err(|source| file_error(&settings, source))?;
    let log = self.directory.join(format!("{}.log", self.place.name));
    let output = File::options().create(true).append(true).open(&log);
    let output = output.map_err(|source| file_error(&log, source))?;
    let errors = output
      .try_clone()
      .map_err(|source| file_error(&log, source))?;
    let mut command = Command::new(&self.program);
    command
      .args(self.deploy.arguments(&settings, &values)?)
      .env_clear()
      .envs(kept_variables())
      .envs(self.deploy.variables(&values))
      .env(SETTINGS_VARIABLE, &settings)
      .stdin(Stdio::null())
      .stdout(output)
      .stderr(errors)
      .kill_on_drop(true);
    // SAFETY: the function makes one system call and allocates nothing.
    unsafe { command.pre_exec(end_with_parent) };
    command.spawn().map_err(|source| Error::Program {
      path: self.program.clone(),
      source,
    })
  }
}

/// Has the process killed when the thread that starts it ends, so that a replay that is killed leaves none behind.
fn end_with_parent() -> io::Result<()> {
  // SAFETY: sets an attribute of the calling process.
  match unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) } {
    0 => Ok(()),
    _ => Err(io::Error::last_os_error()),
  }
}

fn kept_variables() -> impl Iterator<Item = (&'static str, std::ffi::OsString)> {
  KEPT_VARIABLES
    .into_iter()
    .filter_map(|name| Some((name, std::env::var_os(name)?)))
}

fn file_error(path: &Path, source: io::Error) -> Error {
  Error::File {
    path: path.into(),
    source,
  }
}
