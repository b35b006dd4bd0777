//! A deployment for one test: boxes as processes, stand-ins in the test's own process.

use {
  bytes::Bytes,
  emulator::{
    ADMIN_KEY, Ask, CALLER_KEY, Caller, Deployment, EndpointPlan, EngineFaults, EngineOptions,
    EngineStandIn, HallPlan, Plan, ServiceStandIn, Told, eventually,
  },
  http::{Method, Request, StatusCode},
  http_body_util::Full,
  quinn::crypto::rustls::QuicClientConfig,
  rillford::decide::{EndpointState, Role, Status},
  rustls_pki_types::{CertificateDer, pem::PemObject},
  std::{path::Path, sync::Arc, time::Duration},
};

/// Bound on all waiting; far above what is expected, so that a slow machine changes no verdict.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// Platform document with short times, so that lapses are seen soon.
const QUICK: &str = r#"{"tuning": {"hold_ms": 2000, "retry_burst": 1000.0}}"#;

/// Builds a deployment for one test.
pub(crate) struct Test {
  plan: Plan,
}

/// A running deployment with a caller.
pub(crate) struct Running {
  pub(crate) deployment: Deployment,
  pub(crate) caller: Caller,
}

impl Test {
  /// One hall with two boxes.
  pub(crate) fn new() -> Self {
    Self::halls(vec![HallPlan::small("north", &["north-1", "north-2"])])
  }

  /// Two halls, with two boxes and one.
  pub(crate) fn two_halls() -> Self {
    Self::halls(vec![
      HallPlan::small("north", &["north-1", "north-2"]),
      HallPlan::small("south", &["south-1"]),
    ])
  }

  pub(crate) fn halls(halls: Vec<HallPlan>) -> Self {
    let mut plan = Plan::new(Path::new(env!("CARGO_BIN_EXE_rillford")), halls);
    plan.platform_document = QUICK.into();
    Self { plan }
  }

  /// Changes the plan.
  pub(crate) fn plan(mut self, change: impl FnOnce(&mut Plan)) -> Self {
    change(&mut self.plan);
    self
  }

  /// Changes each engine's options.
  pub(crate) fn engines(mut self, mut change: impl FnMut(&mut EngineOptions)) -> Self {
    for hall in &mut self.plan.halls {
      for (_, endpoint) in &mut hall.endpoints {
        if let EndpointPlan::Engine(options) = endpoint {
          change(options);
        }
      }
    }
    self
  }

  /// Makes answers slow enough to be met in the middle.
  pub(crate) fn slow_answers(self) -> Self {
    self.engines(|options| options.token_ms = 25)
  }

  /// Starts the deployment and waits until each box serves both kinds of work.
  pub(crate) async fn start(self) -> Running {
    let mut running = self.start_unready();
    assert!(
      running.deployment.ready(PATIENCE).await,
      "boxes are not ready:\n{}",
      running.box_reports()
    );
    for name in running.deployment.boxes.keys() {
      running.wait_serving(name).await;
    }
    running
  }

  /// Starts the deployment without waiting.
  pub(crate) fn start_unready(self) -> Running {
    Running {
      caller: Caller::new(CALLER_KEY),
      deployment: Deployment::start(&self.plan).unwrap(),
    }
  }
}

impl Running {
  /// What became of each box's process, and its log.
  fn box_reports(&mut self) -> String {
    let boxes = self.deployment.boxes.iter_mut();
    let reports = boxes.map(|(name, process)| {
      let ended = process.ended();
      format!("{name}: ended {ended:?}\n{}", process.log())
    });
    reports.collect::<Vec<_>>().join("\n")
  }

  pub(crate) fn url(&self, name: &str) -> String {
    self.deployment.boxes[name].url()
  }

  pub(crate) fn engine(&self, name: &str) -> &EngineStandIn {
    self.deployment.engine(name).unwrap()
  }

  pub(crate) fn portal(&self) -> &ServiceStandIn {
    self.deployment.service("north-portal-1").unwrap()
  }

  /// Sets the faults of all engines with a role.
  pub(crate) fn set_faults(&self, role: Role, faults: EngineFaults) {
    for engine in self
      .deployment
      .engines()
      .filter(|engine| engine.role() == role)
    {
      engine.set_faults(faults.clone());
    }
  }

  /// Asks one box for a completion.
  pub(crate) async fn complete(&self, name: &str, ask: &Ask) -> Told {
    self.caller.complete(&self.url(name), ask).await
  }

  /// Opens a streamed completion and reads until its first text.
  pub(crate) async fn open(&self, name: &str, ask: &Ask) -> emulator::Stream {
    let mut stream = self.caller.open(&self.url(name), ask).await.unwrap();
    while stream.text().is_empty() {
      let told = stream.next().await;
      assert!(told.is_none() || !stream.text().is_empty(), "{told:?}");
    }
    stream
  }

  /// Sends a not-repeatable call with a key to the portal.
  pub(crate) async fn refund(&self, name: &str, key: &str) -> Told {
    let headers = [
      ("idempotency-key".to_string(), key.to_string()),
      ("x-rillford-not-repeatable".to_string(), "true".to_string()),
    ];
    self
      .caller
      .call(
        &self.url(name),
        Method::POST,
        "portal/refund",
        &headers,
        key,
      )
      .await
  }

  /// How often a refund was run, over all instances.
  pub(crate) fn refund_runs(&self, key: &str) -> u64 {
    self
      .deployment
      .endpoints
      .keys()
      .filter_map(|name| self.deployment.service(name))
      .filter_map(|service| service.runs().get(key).copied())
      .sum()
  }

  /// Calls the administration API of a box.
  pub(crate) async fn admin(
    &self,
    name: &str,
    method: Method,
    path: &str,
    if_match: Option<u64>,
    body: &str,
  ) -> (StatusCode, String) {
    let uri = format!("{}{path}", self.deployment.boxes[name].admin_url());
    let mut request = Request::builder().method(method).uri(uri);
    if let Some(revision) = if_match {
      request = request.header("if-match", revision);
    }
    let request = request
      .header("authorization", format!("Bearer {ADMIN_KEY}"))
      .body(Full::new(Bytes::from(body.to_string())))
      .unwrap();
    let response = Caller::new("").raw(request).await;
    // A box that refuses connections has ended; its log says why.
    response.unwrap_or_else(|error| {
      let log = self.deployment.boxes[name].log();
      panic!("{name} does not answer {path}: {error:?}\n{log}")
    })
  }

  pub(crate) async fn status(&self, name: &str) -> Status {
    let (_, body) = self.admin(name, Method::GET, "/status", None, "").await;
    serde_json::from_str(&body).unwrap()
  }

  /// The state of an endpoint as a box sees it.
  pub(crate) async fn endpoint_state(&self, name: &str, endpoint: &str) -> EndpointState {
    let status = self.status(name).await;
    let found = status
      .endpoints
      .iter()
      .find(|known| known.name.as_ref() == endpoint);
    found.unwrap().state
  }

  /// Waits until a condition holds on a box's status.
  pub(crate) async fn wait_status(&self, name: &str, holds: impl Fn(&Status) -> bool) {
    let held = eventually(PATIENCE, async || holds(&self.status(name).await)).await;
    assert!(held, "{name}: {:?}", self.status(name).await);
  }

  /// Waits until a box has heard of its endpoints.
  pub(crate) async fn wait_serving(&self, name: &str) {
    let probe = Ask::new("probe", 1);
    let serves = eventually(PATIENCE, async || {
      self.complete(name, &probe).await.is_answered()
        && self
          .caller
          .call(&self.url(name), Method::GET, "portal/probe", &[], "")
          .await
          .is_answered()
    });
    assert!(
      serves.await,
      "{name} does not serve:\n{}",
      self.deployment.boxes[name].log()
    );
  }

  /// Waits until some engine holds something.
  pub(crate) async fn wait_held(&self) {
    let held = eventually(PATIENCE, async || self.deployment.held() > 0).await;
    assert!(held, "no engine holds anything");
  }

  /// Waits until no engine holds anything.
  pub(crate) async fn wait_nothing_held(&self) {
    let empty = eventually(PATIENCE, async || self.deployment.held() == 0).await;
    let held = self
      .deployment
      .engines()
      .flat_map(|engine| engine.held())
      .collect::<Vec<_>>();
    assert!(empty, "engines hold {held:?}");
  }
}

/// Reads a stream to its end.
pub(crate) async fn finish(mut stream: emulator::Stream) -> Told {
  loop {
    if let Some(told) = stream.next().await {
      return told;
    }
  }
}

/// A client that trusts the deployment's authority but has no certificate of its own.
pub(crate) fn client_without_certificate(authority: &Path) -> quinn::ClientConfig {
  let mut roots = rustls::RootCertStore::empty();
  let certificate = CertificateDer::from_pem_file(authority).unwrap();
  roots.add(certificate).unwrap();
  let provider = Arc::new(rustls::crypto::ring::default_provider());
  let client = rustls::ClientConfig::builder_with_provider(provider)
    .with_protocol_versions(&[&rustls::version::TLS13])
    .unwrap()
    .with_root_certificates(roots)
    .with_no_client_auth();
  let client = QuicClientConfig::try_from(client).unwrap();
  quinn::ClientConfig::new(Arc::new(client))
}
