//! Streams that callers resume at a box whose view of the store lacks the version that began them.

use {
  super::{
    EndpointStandIn, GatewayBox, GatewayTest, TIMEOUT,
    cut_off::{Cut, CutAddress},
    versions::{EVENTS, begins_and_resumes, resume, wait_until_recorded},
    versions_of_restarted_engines::wait_until_two_versions,
  },
  emulator::eventually,
  http::StatusCode,
  rstest::rstest,
  std::time::Duration,
  tokio::time::sleep,
};

/// Until a change of the store has reached a box.
const WATCHED: Duration = Duration::from_millis(150);

/// A deployment whose engines have the first version, which is recorded.
struct Release {
  first: GatewayBox,
  old: EndpointStandIn,
  new: EndpointStandIn,
  _prefill: EndpointStandIn,
}

impl Release {
  async fn start() -> Self {
    let prefill = EndpointStandIn::engine(EVENTS).await;
    let test = GatewayTest::new().await;
    test.enter("e-1", "llm", Some("prefill"), &prefill);
    let [old, new] = [
      EndpointStandIn::start(begins_and_resumes).await,
      EndpointStandIn::start(begins_and_resumes).await,
    ];
    test.enter_version("e-2", &old, "v1");
    let first = test.start().await;
    wait_until_recorded(&first, 1).await;
    Self {
      _prefill: prefill,
      first,
      new,
      old,
    }
  }

  /// The engine of the second version takes the place of the first one's.
  fn replace_engine(&self) {
    self.first.test.enter_version("e-3", &self.new, "v2");
    self.first.test.store.remove("servers/e-2");
  }

  /// The engine of the first version is back in its place.
  fn roll_back(&self) {
    self.first.test.enter_version("e-2", &self.old, "v1");
    self.first.test.store.remove("servers/e-3");
  }

  fn another_box(&self, name: &str) -> GatewayTest {
    let test = &self.first.test;
    test.second_box(name, test.store.address)
  }

  /// Begins a stream at the second version.
  async fn begin(&self, gateway: &GatewayBox) {
    gateway.ask_in_background("/resumable/a", "r0");
    let records = async || gateway.metric("rillford_stream_records").await == 1.0;
    assert!(eventually(TIMEOUT, records).await);
    assert!(self.new.requests().iter().any(|seen| seen.id() == "r0"));
  }

  /// Resumes the stream; it must not go on at the first version.
  async fn assert_rejected(&self, gateway: &GatewayBox) {
    let response = resume(gateway, "again", "r0").await;
    assert!(self.old.requests().iter().all(|seen| seen.id() != "again"));
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
  }
}

fn kill(gateway: &mut GatewayBox) {
  gateway.process.kill().unwrap();
  gateway.process.wait().unwrap();
}

/// Guards against a stream that goes on at the former version because its box was killed before it had recorded the new one.
#[tokio::test]
async fn stream_does_not_go_on_at_the_former_version_once_its_own_has_been_rolled_back() {
  let mut release = Release::start().await;
  release.replace_engine();
  wait_until_two_versions(&release.first).await;
  release.begin(&release.first).await;
  kill(&mut release.first);
  release.roll_back();
  let second = release.another_box("north-2").start().await;
  release.assert_rejected(&second).await;
}

/// Guards against a stream that goes on at the only version that a box knows whose watch lags behind the store.
#[tokio::test]
async fn stream_does_not_go_on_at_the_only_version_that_a_lagging_view_shows() {
  let release = Release::start().await;
  let lagging = release.another_box("north-2").start().await;
  sleep(WATCHED).await;
  let _deaf = release.first.test.store.begin_deaf_watches();
  // The box that begins the stream reaches no other one, so that none has its record.
  let cut = CutAddress::new(Cut::Refuse);
  for name in ["north-1", "north-2"] {
    release.first.test.enter_box(name, cut.address);
  }
  release.replace_engine();
  let mut began = release.another_box("north-3").start().await;
  release.begin(&began).await;
  kill(&mut began);
  release.assert_rejected(&lagging).await;
}

/// Guards against a stream that goes on at the only version whose record can be read.
#[rstest]
#[case::truncated("Aw==")]
#[case::no_base64("?")]
#[tokio::test]
async fn stream_does_not_go_on_beside_a_record_that_can_not_be_read(#[case] record: &str) {
  let mut release = Release::start().await;
  kill(&mut release.first);
  let store = &release.first.test.store;
  store.put_raw("rillford/versions/00", record);
  let second = release.another_box("north-2").start().await;
  release.assert_rejected(&second).await;
}
