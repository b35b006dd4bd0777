//! A deployment for one test: boxes as processes, stand-ins in the test's own process.

use {
  emulator::{Ask, CALLER_KEY, Caller, Deployment, HallPlan, Plan, Told},
  std::{path::Path, time::Duration},
};

/// Bound on all waiting; far above what is expected, so that a slow machine changes no verdict.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

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
  pub(crate) fn new() -> Self {
    Self::halls(vec![HallPlan::small("north", &["north-1", "north-2"])])
  }

  pub(crate) fn halls(halls: Vec<HallPlan>) -> Self {
    Self {
      plan: Plan::new(Path::new(env!("CARGO_BIN_EXE_rillford")), halls),
    }
  }

  /// Changes the plan.
  #[expect(dead_code, reason = "used as features come")]
  pub(crate) fn plan(mut self, change: impl FnOnce(&mut Plan)) -> Self {
    change(&mut self.plan);
    self
  }

  /// Starts the deployment and waits until each box serves both kinds of work.
  pub(crate) async fn start(self) -> Running {
    let running = self.start_unready();
    assert!(
      running.deployment.ready(PATIENCE).await,
      "boxes are not ready"
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
  pub(crate) fn url(&self, name: &str) -> String {
    self.deployment.boxes[name].url()
  }

  /// Asks one box for a completion.
  pub(crate) async fn complete(&self, name: &str, ask: &Ask) -> Told {
    self.caller.complete(&self.url(name), ask).await
  }

  /// Waits until a box has heard of its endpoints.
  pub(crate) async fn wait_serving(&self, name: &str) {
    let probe = Ask::new("probe", 1);
    let serves = emulator::eventually(PATIENCE, async || {
      self.complete(name, &probe).await.is_answered()
        && self
          .caller
          .call(&self.url(name), http::Method::GET, "portal/probe", &[], "")
          .await
          .is_answered()
    });
    assert!(
      serves.await,
      "{name} does not serve:\n{}",
      self.deployment.boxes[name].log()
    );
  }

  /// Waits until no engine holds anything.
  pub(crate) async fn wait_nothing_held(&self) {
    let empty = emulator::eventually(PATIENCE, async || self.deployment.held() == 0).await;
    let held = self
      .deployment
      .engines()
      .flat_map(|engine| engine.held())
      .collect::<Vec<_>>();
    assert!(empty, "engines hold {held:?}");
  }
}
