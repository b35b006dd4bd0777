//! Policy programs in the gateway.

use {
  super::{EndpointStandIn, GatewayTest, Reply},
  rillford::{
    gateway::{CallerAttributes, Route, RouteKind, RoutePolicy, RouteRank, WeightedService},
    policy::PoolStats,
  },
  std::{path::Path, process::Command},
};

fn route(kind: RouteKind) -> Route {
  Route {
    allowed_regions: None,
    host: "lectures.example".into(),
    allows_anonymous: false,
    kind,
    max_attempts: 1,
    name: "r-1".into(),
    path_prefix: "/a/".into(),
    priority: 2,
    services: vec![WeightedService {
      service: "llm".into(),
      weight: 1,
    }],
    target_ms: 900,
    timeout_ms: 4_000,
  }
}

fn policy(text: &str) -> RoutePolicy {
  let file = tempfile::NamedTempFile::new().unwrap();
  std::fs::write(file.path(), text).unwrap();
  RoutePolicy::load(file.path(), 0).unwrap()
}

fn rank(policy: &RoutePolicy, prompt_tokens: u64) -> RouteRank {
  let attributes = CallerAttributes {
    prompt_tokens,
    ..CallerAttributes::default()
  };
  policy.rank(
    &route(RouteKind::Stream { resumable: false }),
    &"llm".into(),
    &attributes,
    None,
  )
}

#[test]
fn routes_rank_applies_without_a_program_and_when_it_fails() {
  let default = RouteRank {
    engine_priority: 2,
    priority: 2,
    target_ms: 900,
  };
  assert_eq!(rank(&RoutePolicy::default(), 100), default);
  assert_eq!(
    rank(&policy("fn rank(request, now) { throw \"broken\" }"), 100),
    default
  );
}

#[test]
fn program_ranks_by_the_requests_attributes() {
  let policy = policy(
    "fn rank(request, now) { #{ class: \"a\", priority: if request.prompt_tokens < 1000 { 9 } else { 20 - 14 }, first_token_ms: 500 } }",
  );
  assert_eq!(
    rank(&policy, 100),
    RouteRank {
      engine_priority: 0,
      priority: 0,
      target_ms: 500
    }
  );
  assert_eq!(rank(&policy, 5_000).priority, 3);
}

#[test]
fn program_divides_the_engines() {
  let pool = PoolStats {
    decode_engines: 6,
    model: "llm".into(),
    prefill_engines: 3,
    queue_tokens: 0,
    slots_used: 0.5,
  };
  let policy = policy("fn rank(request, now) { #{} } fn shift(now, pools) { #{ llm: 0.4 } }");
  assert_eq!(policy.prefill_share(&pool), Some(0.4));
  assert_eq!(RoutePolicy::default().prefill_share(&pool), None);
}

#[test]
fn example_passes_the_check_and_a_broken_policy_does_not() {
  let root = Path::new(env!("CARGO_MANIFEST_DIR"));
  let check = |path: &Path| {
    Command::new(env!("CARGO_BIN_EXE_rillford"))
      .current_dir(root)
      .args(["check", "--gateway"])
      .arg(path)
      .output()
      .unwrap()
  };
  assert!(check("examples/gateway/box.toml".as_ref()).status.success());
  let directory = tempfile::tempdir().unwrap();
  let broken = directory.path().join("box.toml");
  let text = std::fs::read_to_string(root.join("examples/gateway/box.toml")).unwrap();
  std::fs::write(&broken, text.replace("policy.rhai", "none.rhai")).unwrap();
  let output = check(&broken);
  assert!(!output.status.success());
  assert!(String::from_utf8_lossy(&output.stderr).contains("none.rhai"));
}

#[tokio::test]
async fn endpoints_receive_the_routes_priority() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "")).await;
  let test = GatewayTest::new().await.configure(|configuration| {
    configuration["routes"][0]["priority"] = 7.into();
  });
  test.enter("p-1", "portal", None, &one);
  let gateway = test.start().await;
  gateway.ask("/safe/a", "r1").await;
  assert_eq!(one.requests()[0].header("x-request-priority"), "7");
}
