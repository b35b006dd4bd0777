//! Boxes that can't reach endpoints which other boxes reach.

use {
  super::{EndpointStandIn, GatewayBox, GatewayTest, Reply, TIMEOUT},
  emulator::eventually,
  http::StatusCode,
  rstest::rstest,
  socket2::{Domain, Socket, Type},
  std::{
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
  },
};

const EVENTS: &str = "id: 1\ndata: a\n\n";

/// How connections to an endpoint fail at a box.
#[derive(Clone, Copy, Debug)]
enum Cut {
  /// Connection attempts get no answer.
  Hang,
  /// Connection attempts are refused.
  Refuse,
}

/// An address at which connection attempts fail, as long as it is held.
struct CutAddress {
  address: SocketAddr,
  _listener: Option<Socket>,
  _queued: Vec<TcpStream>,
}

impl CutAddress {
  fn new(cut: Cut) -> Self {
    match cut {
      Cut::Refuse => {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Self {
          address: listener.local_addr().unwrap(),
          _listener: None,
          _queued: Vec::new(),
        }
      }
      Cut::Hang => Self::with_full_queue(),
    }
  }

  /// A listener that accepts nothing: its queue is full, and further attempts are dropped.
  fn with_full_queue() -> Self {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&any.into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
      queued.push(stream);
    }
    Self {
      address,
      _listener: Some(listener),
      _queued: queued,
    }
  }
}

/// A box that reaches no endpoint, and one that reaches all.
struct CutOffBox {
  cut_off: GatewayBox,
  other: GatewayBox,
  portal: EndpointStandIn,
  decode: EndpointStandIn,
  prefill: EndpointStandIn,
  _addresses: Vec<CutAddress>,
}

impl CutOffBox {
  async fn start(cut: Cut) -> Self {
    let portal = EndpointStandIn::start(|seen| Reply::ok(seen, "portal")).await;
    let prefill = EndpointStandIn::engine(EVENTS).await;
    let decode = EndpointStandIn::engine(EVENTS).await;
    let entries = [
      ("p-1", "portal", None, &portal),
      ("e-1", "llm", Some("prefill"), &prefill),
      ("e-2", "llm", Some("decode"), &decode),
    ];
    let (test, other) = (GatewayTest::new().await, GatewayTest::new().await);
    let mut addresses = Vec::new();
    for (id, service, stage, endpoint) in entries {
      let address = CutAddress::new(cut);
      test.enter_at(id, service, stage, address.address, "ready");
      other.enter_at(id, service, stage, endpoint.address, "ready");
      addresses.push(address);
    }
    let cut_off = test.start().await;
    let other = other.named("north-2").start().await;
    cut_off.test.enter_box("north-2", other.boxes);
    other.test.enter_box("north-1", cut_off.boxes);
    let lists_both = async |gateway: &GatewayBox| gateway.metric("rillford_boxes").await == 2.0;
    assert!(eventually(TIMEOUT, async || lists_both(&cut_off).await).await);
    assert!(eventually(TIMEOUT, async || lists_both(&other).await).await);
    Self {
      _addresses: addresses,
      cut_off,
      decode,
      other,
      portal,
      prefill,
    }
  }
}

/// Guards against a box that rejects the requests which the box beside it could serve.
#[rstest]
#[tokio::test]
async fn callers_of_a_box_that_reaches_no_endpoint_are_served(
  #[values(Cut::Hang, Cut::Refuse)] cut: Cut,
  #[values("/safe/a", "/unsafe/a", "/resumable/a", "/stream/a")] path: &str,
) {
  let boxes = CutOffBox::start(cut).await;
  let sent = 9;
  let mut served = 0;
  for number in 0..sent {
    let response = boxes.cut_off.ask(path, &format!("r{number}")).await;
    served += usize::from(response.status == StatusCode::OK && response.body.is_ok());
  }
  assert!(3 * served >= 2 * sent, "{served} of {sent} served");
  let arrived = boxes.portal.requests().len() + boxes.decode.requests().len();
  assert_eq!(arrived, served);
  assert!(boxes.prefill.requests().len() <= served);
  assert!(boxes.other.is_ready().await);
}
