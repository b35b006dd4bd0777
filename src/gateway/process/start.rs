//! Starting a gateway box, and stopping it without cutting a request.

use {
  super::{
    log_writer::LogWriter,
    own_pages::{OwnPage, serve_page},
  },
  crate::{
    Error, Result,
    gateway::{
      edge::{PlatformCodec, Store},
      limits::keep_counts,
      membership::{end_entry, follow_store, keep_entry, serve_boxes},
      quarantine::keep_quarantine,
      requests::accept_callers,
      roles::keep_roles,
      settings::{GatewayListen, GatewaySettings},
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
    task::{LocalSet, spawn_local},
    time::sleep,
  },
};

/// The balancer asks every second and takes a box out after two misses.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);
/// What is left between the last answer and the kill.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// New connections are taken until this long before the end.
const LAST_CALL_MS: u64 = 1_500;
/// A request that comes while the box is leaving has its final answer this long before the end.
const ANSWER_MARGIN_MS: u64 = 200;
/// Pause between looks at what is still in progress.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Pause between closing connections that rested for too long.
const HOUSEKEEPING: Duration = Duration::from_millis(1_000);

/// Runs a gateway box until it is told to stop, and then until its requests have ended or their time is over.
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
      step: "gateway",
      source,
    })?;
  LocalSet::new().block_on(&runtime, async move {
    let store = store(&settings);
    serve(settings, codec, store).await
  })
}

/// Serves until the signal to stop, then leaves.
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
  spawn_tasks(&gateway, &store, ports);
  loop {
    tokio::select! {
      _ = stop.recv() => break,
      _ = reload.recv() => log::info!("E102 settings changed: in force at the next start"),
    }
  }
  leave(&gateway, &store).await;
  log::info!(
    "E103 stopped: {name}, {} requests left",
    gateway.in_flight.get()
  );
  log::logger().flush();
  Ok(())
}

/// The box's listeners, bound before it says that it has started.
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
    // Requests are served without figures too.
    let metrics = addresses
      .metrics
      .and_then(|address| match listen("metrics", address) {
        Ok(listener) => Some(listener),
        Err(error) => {
          log::warn!("E606 no figures: {error}");
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

/// Starts what a box does at the same time; all of it ends with the process.
fn spawn_tasks<S: Store>(gateway: &Rc<Gateway>, store: &S, ports: Ports) {
  spawn_local(serve_page(gateway.clone(), ports.ready, OwnPage::Ready));
  if let Some(metrics) = ports.metrics {
    spawn_local(serve_page(gateway.clone(), metrics, OwnPage::Metrics));
  }
  spawn_local(follow_store(gateway.clone(), store.clone()));
  spawn_local(keep_entry(gateway.clone(), store.clone()));
  if gateway.settings.mechanisms.role_orders {
    spawn_local(keep_roles(gateway.clone(), store.clone()));
  }
  spawn_local(accept_callers(gateway.clone(), ports.callers));
  spawn_local(serve_boxes(gateway.clone(), ports.boxes));
  spawn_local(keep_counts(gateway.clone()));
  spawn_local(keep_quarantine(gateway.clone(), store.clone()));
  spawn_local(keep_house(gateway.clone()));
}

/// Serves what still comes, then closes what rests.
async fn leave<S: Store>(gateway: &Gateway, store: &S) {
  let now_ms = gateway.now_ms();
  let stop_ms = (gateway.settings.bounds.stop_s * 1_000.0) as u64;
  let end_ms = now_ms + stop_ms.saturating_sub(u64::try_from(KILL_MARGIN.as_millis()).unwrap_or(0));
  gateway
    .ends_ms
    .set(Some(end_ms.saturating_sub(ANSWER_MARGIN_MS)));
  gateway.phase.send_replace(Phase::Leaving);
  log::info!(
    "E104 leaving: {} requests in progress",
    gateway.in_flight.get()
  );
  end_entry(gateway, store).await;
  sleep(BALANCER_LAG).await;
  gateway.phase.send_replace(Phase::Closing);
  let last_call_ms = end_ms.saturating_sub(LAST_CALL_MS);
  while gateway.in_flight.get() > 0 && gateway.now_ms() < last_call_ms {
    sleep(DRAIN_POLL).await;
  }
  // From here on no request can be taken and then cut: connections end with what they carry.
  gateway.phase.send_replace(Phase::Closed);
  while gateway.connections.get() > 0 && gateway.now_ms() < end_ms {
    sleep(DRAIN_POLL).await;
  }
}

/// Closes connections and forgets endpoints whose time is over, until the process ends.
async fn keep_house(gateway: Rc<Gateway>) {
  loop {
    sleep(HOUSEKEEPING).await;
    let now_ms = gateway.now_ms();
    gateway.pool.close_expired(now_ms);
    gateway.book.borrow_mut().forget_lapsed(now_ms);
    forget_notices(&gateway, now_ms);
    gateway.permit_book.borrow_mut().forget_old(now_ms);
    gateway.lone_permits.borrow_mut().forget_old(now_ms);
  }
}

/// Forgets what endpoints said of themselves once it no longer counts.
fn forget_notices(gateway: &Gateway, now_ms: u64) {
  let taken_back = gateway.book.borrow_mut().forget_notices(now_ms);
  for endpoint in taken_back {
    log::warn!(
      "E539 taken back: {endpoint} said that it leaves, and is still there as the store lists it"
    );
  }
}

fn listen(step: &'static str, address: SocketAddr) -> Result<TcpListener> {
  TcpListener::from_std(bind(step, address)?).map_err(|source| Error::Listen {
    peer: address.to_string(),
    source,
    step,
  })
}

fn on_signal(step: &'static str, kind: SignalKind) -> Result<Signal> {
  signal(kind).map_err(|source| Error::Thread { step, source })
}

fn set_up_log() -> Result {
  let writer = LogWriter::start().map_err(|source| Error::Thread {
    step: "log",
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
