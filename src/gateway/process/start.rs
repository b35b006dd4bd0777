//! Starts a gateway box, and shuts it down without interrupting requests.

use {
  super::{
    box_port::serve_boxes,
    log_writer::LogWriter,
    status_pages::{StatusPage, serve_page},
  },
  crate::{
    Error, Result,
    gateway::{
      edge::{PlatformCodec, Store},
      limits::sync_usage,
      membership::{maintain_entry, sync_store},
      prefill_queue::expire_places,
      quarantine::sync_quarantine,
      requests::accept_callers,
      resumption::{
        publish_streams, send_origins, serve_origin_reads, serve_version_reads, sync_versions,
        write_origins,
      },
      roles::manage_roles,
      settings::{GatewayListen, GatewaySettings},
      stages::{check_displacements, probe_unreachable},
      state::{Gateway, Phase},
    },
    listener::bind,
    observe::unix_ms,
  },
  fern::Dispatch,
  log::LevelFilter,
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    task::{JoinHandle, LocalSet, spawn_local},
    time::{Instant, sleep, sleep_until},
  },
};

/// Time until the load balancer has removed the box: it checks readiness every second and removes a box after two failures.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);
/// Reserve before the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// New connections are accepted until this long before the exit.
const ACCEPT_MARGIN_MS: u64 = 1_500;
/// Requests that arrive during the shutdown get their deadline this long before the exit.
const RESPONSE_MARGIN_MS: u64 = 200;
/// Interval of checks for requests in flight during the shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which expired state is removed.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Runs a gateway box until the stop signal, and then until its requests have completed or the shutdown timeout has passed.
/// Fails when an address can't be bound, or the policy program can't be read.
pub fn run_gateway<S: Store>(
  settings: GatewaySettings,
  codec: Rc<dyn PlatformCodec>,
  store: impl FnOnce(&GatewaySettings) -> S,
) -> Result {
  set_up_log()?;
  let runtime = tokio::runtime::Builder::new_current_thread()
    .enable_all()
    .build()
    .map_err(|source| Error::Thread {
      name: "gateway",
      source,
    })?;
  LocalSet::new().block_on(&runtime, async move {
    let store = store(&settings);
    serve(settings, codec, store).await
  })
}

/// Serves until the stop signal, then shuts down.
async fn serve<S: Store>(
  settings: GatewaySettings,
  codec: Rc<dyn PlatformCodec>,
  store: S,
) -> Result {
  let policy = settings.load_policy()?;
  let ports = Ports::open(&settings.listen)?;
  let mut stop = on_signal("stop signal", SignalKind::terminate())?;
  let mut reload = on_signal("reload signal", SignalKind::hangup())?;
  let name = settings.identity.name.clone();
  log::info!("E101 started: {name} {}", env!("CARGO_PKG_VERSION"));
  let gateway = Rc::new(Gateway::new(
    codec,
    settings,
    policy,
    unix_ms() ^ u64::from(std::process::id()),
  ));
  if let (_, Some(bound)) = gateway.held_memory.usage() {
    log::info!("E589 memory bound: {bound} bytes for requests, responses and streams");
  }
  let entry = spawn_tasks(&gateway, &store, ports);
  loop {
    tokio::select! {
      _ = stop.recv() => break,
      _ = reload.recv() => log::info!("E102 reload signal: changed settings apply after a restart"),
    }
  }
  shut_down(&gateway).await;
  log_unwritten(&gateway, &entry);
  log::info!(
    "E103 stopped: {name}, {} requests in flight",
    gateway.in_flight.get()
  );
  log::logger().flush();
  Ok(())
}

/// The box's listeners, bound before the start is logged.
struct Ports {
  callers: TcpListener,
  ready: TcpListener,
  boxes: TcpListener,
  metrics: Option<TcpListener>,
}

impl Ports {
  fn open(addresses: &GatewayListen) -> Result<Self> {
    let callers = listen("callers", addresses.callers)?;
    let ready = listen("ready", addresses.ready)?;
    let boxes = listen("boxes", addresses.boxes)?;
    // Requests can be served without metrics.
    let metrics = addresses
      .metrics
      .and_then(|address| match listen("metrics", address) {
        Ok(listener) => Some(listener),
        Err(error) => {
          log::warn!("E606 no metrics: {error}");
          None
        }
      });
    Ok(Self {
      boxes,
      callers,
      metrics,
      ready,
    })
  }
}

/// Starts the box's tasks, which run until the process exits; returns the one that ends when the box's entry is removed.
fn spawn_tasks<S: Store>(gateway: &Rc<Gateway>, store: &S, ports: Ports) -> JoinHandle<()> {
  spawn_local(serve_page(gateway.clone(), ports.ready, StatusPage::Ready));
  if let Some(metrics) = ports.metrics {
    spawn_local(serve_page(gateway.clone(), metrics, StatusPage::Metrics));
  }
  spawn_local(sync_store(gateway.clone(), store.clone()));
  let entry = spawn_local(maintain_entry(gateway.clone(), store.clone()));
  if gateway.settings.mechanisms.role_commands {
    spawn_local(manage_roles(gateway.clone(), store.clone()));
  }
  spawn_local(accept_callers(gateway.clone(), ports.callers));
  spawn_local(serve_boxes(gateway.clone(), ports.boxes));
  spawn_local(check_displacements(gateway.clone()));
  spawn_local(probe_unreachable(gateway.clone()));
  spawn_local(sync_usage(gateway.clone()));
  spawn_local(publish_streams(gateway.clone()));
  spawn_local(sync_versions(gateway.clone(), store.clone()));
  spawn_local(serve_version_reads(gateway.clone(), store.clone()));
  if gateway.settings.mechanisms.stored_origins {
    spawn_local(send_origins(gateway.clone()));
    spawn_local(write_origins(gateway.clone(), store.clone()));
    spawn_local(serve_origin_reads(gateway.clone(), store.clone()));
  }
  spawn_local(sync_quarantine(gateway.clone(), store.clone()));
  spawn_local(remove_expired(gateway.clone()));
  entry
}

/// Shuts down gracefully: signals that the box is not ready, serves until the load balancer has removed it, drains the requests in
/// flight, and then closes the connections. All of these times run from the stop signal; they wait for no other system.
async fn shut_down(gateway: &Gateway) {
  let began = Instant::now();
  let now_ms = gateway.now_ms();
  let stop_ms = (gateway.settings.bounds.stop_s * 1_000.0) as u64;
  let end_ms = now_ms + stop_ms.saturating_sub(u64::try_from(KILL_MARGIN.as_millis()).unwrap_or(0));
  gateway
    .exit_ms
    .set(Some(end_ms.saturating_sub(RESPONSE_MARGIN_MS)));
  gateway.phase.send_replace(Phase::Leaving);
  log::info!(
    "E104 shutting down: {} requests in flight",
    gateway.in_flight.get()
  );
  sleep_until(began + BALANCER_LAG).await;
  begin_phase(gateway, Phase::Closing, now_ms);
  let accept_until_ms = end_ms.saturating_sub(ACCEPT_MARGIN_MS);
  while gateway.in_flight.get() > 0 && gateway.now_ms() < accept_until_ms {
    sleep(DRAIN_POLL_INTERVAL).await;
  }
  // No new connections from here on; open ones close after the request that they carry.
  begin_phase(gateway, Phase::Closed, now_ms);
  while gateway.connections.get() > 0 && gateway.now_ms() < end_ms {
    sleep(DRAIN_POLL_INTERVAL).await;
  }
}

/// Enters a phase of the shutdown that began at a time.
fn begin_phase(gateway: &Gateway, phase: Phase, began_ms: u64) {
  gateway.phase.send_replace(phase);
  log::info!(
    "E105 shutdown phase: {phase:?}, {} ms after the stop signal, {} requests in flight, {} connections",
    gateway.now_ms() - began_ms,
    gateway.in_flight.get(),
    gateway.connections.get()
  );
}

/// Logs the changes that were not written to the store before the exit.
fn log_unwritten(gateway: &Gateway, entry: &JoinHandle<()>) {
  let origins = gateway.origins.writer.borrow().len();
  let marks = gateway.quarantine.changes();
  if entry.is_finished() && origins == 0 && marks == 0 {
    return;
  }
  let lease = if entry.is_finished() {
    "revoked"
  } else {
    "expires by itself"
  };
  log::info!(
    "E106 not written to the store at the exit: lease {lease}, origins of {origins} streams, {marks} changes of quarantine"
  );
}

/// Closes expired connections and removes expired state, until the process exits.
async fn remove_expired(gateway: Rc<Gateway>) {
  loop {
    sleep(CLEANUP_INTERVAL).await;
    let now_ms = gateway.now_ms();
    gateway.pool.close_expired(now_ms);
    gateway.endpoints.borrow_mut().remove_lapsed(now_ms);
    expire_notices(&gateway, now_ms);
    gateway.permit_table.borrow_mut().expire(now_ms);
    gateway.isolated_permits.borrow_mut().expire(now_ms);
    expire_places(&gateway);
  }
}

/// Removes endpoints' notices that no longer apply.
fn expire_notices(gateway: &Gateway, now_ms: u64) {
  let contradicted = gateway.endpoints.borrow_mut().expire_notices(now_ms);
  for endpoint in contradicted {
    log::warn!(
      "E539 shutdown notice dropped: {endpoint} signalled a shutdown, but is still listed in the store"
    );
  }
}

fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
  TcpListener::from_std(bind(purpose, address)?).map_err(|source| Error::Listen {
    address: address.to_string(),
    purpose,
    source,
  })
}

fn on_signal(name: &'static str, kind: SignalKind) -> Result<Signal> {
  signal(kind).map_err(|source| Error::Thread { name, source })
}

fn set_up_log() -> Result {
  let writer = LogWriter::start().map_err(|source| Error::Thread {
    name: "log",
    source,
  })?;
  Dispatch::new()
    .level(LevelFilter::Warn)
    .level_for("rillford", LevelFilter::Info)
    .format(|out, message, record| {
      out.finish(format_args!("{} {} {message}", unix_ms(), record.level()));
    })
    .chain(Box::new(writer) as Box<dyn std::io::Write + Send>)
    .apply()
    .map_err(|error| Error::Log(error.to_string()))
}
