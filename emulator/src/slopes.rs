//! Benchmark of the decision state machine at several fleet sizes, for docs/CAPACITY.md.

use {
  rillford::{
    configuration::{Store, hash_key},
    decide::{
      Action, Arrival, BoxEntry, Document, EndpointKind, EndpointSpec, Event, Heartbeat, Identity,
      LoadReport, Machine, ModelWork, PeerMessage, Role, Setup, StageOutcome, StageReport, Work,
    },
    ids::{AttemptId, Name, RequestId},
    observe::Stamp,
    peers::{Frame, decode, encode},
    policy::{Clock, Program, RequestAttributes},
  },
  std::{fs, hint::black_box, sync::Arc, time::Instant},
};

const POLICY: &str = include_str!("../../examples/sariwa/policy.rhai");
const ARRIVAL_INTERVAL_MS: u64 = 4;
const REQUESTS_PER_REPORT: u64 = 10;
const REQUESTS: u64 = 4_000;
const TICK_MS: u64 = 10;
const VIRTUAL_DURATION_S: u64 = 20;
const KV_BYTES: u64 = 131_072;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
struct Size {
  halls: usize,
  boxes: usize,
  endpoints: usize,
}

const SIZES: [Size; 4] = [
  Size {
    boxes: 8,
    endpoints: 24,
    halls: 3,
  },
  Size {
    boxes: 40,
    endpoints: 560,
    halls: 9,
  },
  Size {
    boxes: 130,
    endpoints: 1_870,
    halls: 9,
  },
  Size {
    boxes: 390,
    endpoints: 5_600,
    halls: 9,
  },
];

/// Numbers of endpoints in a single hall, where each endpoint is a candidate for each request.
const DECISION_ENDPOINTS: [usize; 4] = [10, 100, 1_000, 5_600];

fn hall(index: usize, size: Size) -> Name {
  format!("hall-{}", index % size.halls).into()
}

fn endpoint(index: usize, size: Size) -> EndpointSpec {
  let role = if (index / size.halls).is_multiple_of(4) {
    Role::Prefill
  } else {
    Role::Decode
  };
  EndpointSpec {
    hall: hall(index, size),
    kind: EndpointKind::Engine {
      checks_fence: true,
      models: vec!["model".into()],
      role,
    },
    kv_bytes_per_token: KV_BYTES,
    link_bytes_per_s: 12_500_000_000,
    name: format!("engine-{index}").into(),
    prefill_tokens_per_s: 12_000,
    slots: 64,
  }
}

fn entries(size: Size) -> Vec<BoxEntry> {
  (0..size.boxes)
    .map(|index| BoxEntry {
      hall: hall(index, size),
      leaving: false,
      name: format!("box-{index}").into(),
      peer_address: "".into(),
    })
    .collect()
}

fn report(spec: &EndpointSpec) -> LoadReport {
  let EndpointKind::Engine { role, .. } = &spec.kind else {
    unreachable!("all are engines");
  };
  LoadReport {
    age_ms: 100,
    endpoint: spec.name.clone(),
    incarnation: 1,
    leaving: false,
    queue_tokens: 0,
    role: Some(*role),
    slots: spec.slots,
    used_slots: 3,
  }
}

fn machine(size: Size, specs: &[EndpointSpec]) -> Machine {
  let mut machine = Machine::new(Setup {
    endpoints: specs.to_vec(),
    epoch_unix_ms: 0,
    identity: Identity {
      hall: hall(0, size),
      incarnation: 1,
      name: "box-0".into(),
    },
    seed: 1,
  });
  machine.handle(1, Event::Boxes(entries(size)));
  let mut store = Store::default();
  let policy = serde_json::to_string(POLICY).unwrap_or_default();
  let document = Document {
    key: "platform".into(),
    revision: 1,
    text: format!("{{\"policy\": {policy}}}").into(),
  };
  let _ = store.apply(document);
  machine.handle(1, Event::Configured(Arc::new(store.view())));
  for spec in specs {
    machine.handle(1, Event::LoadReported(report(spec)));
  }
  machine
}

fn arrival(request: u64) -> Arrival {
  Arrival {
    deadline_ms: Some(10_000),
    idempotency_key: None,
    not_repeatable: false,
    organisation: "organisation".into(),
    request: RequestId(request),
    task: "basket".into(),
    work: Work::Model(ModelWork {
      max_tokens: 200,
      model: "model".into(),
      prefix: (request..request + 8).collect(),
      prompt_tokens: 1_000,
    }),
  }
}

/// Completes all commands at once and feeds the results back. Returns the number of completed requests.
fn run_actions(
  machine: &mut Machine,
  now_ms: u64,
  actions: Vec<Action>,
  peers: &mut SimulatedPeers,
) -> u64 {
  let mut completed = 0;
  let mut pending = actions;
  while let Some(action) = pending.pop() {
    let stage = |attempt: AttemptId, endpoint: Name, outcome| {
      Event::Stage(StageReport {
        attempt,
        endpoint,
        outcome,
      })
    };
    let event = match action {
      Action::Prefill(command) => stage(
        command.attempt,
        command.engine,
        StageOutcome::Prefilled {
          cached_tokens: 0,
          kv_bytes: KV_BYTES,
          prompt_tokens: 1_000,
        },
      ),
      Action::Import(command) => stage(command.attempt, command.engine, StageOutcome::Imported),
      Action::Decode(command) => stage(
        command.attempt,
        command.engine,
        StageOutcome::Finished { tokens: 100 },
      ),
      Action::Send(to, message) => match peers.receive(&to, message) {
        Some(response) => response,
        None => continue,
      },
      Action::Complete(..) => {
        completed += 1;
        continue;
      }
      _ => continue,
    };
    pending.extend(machine.handle(now_ms, event));
  }
  completed
}

/// Simulated peers: they grant every slot request and count the messages.
struct SimulatedPeers {
  bytes: u64,
  messages: u64,
}

impl SimulatedPeers {
  fn receive(&mut self, to: &Name, message: PeerMessage) -> Option<Event> {
    let response = match &message {
      PeerMessage::SlotRequest(request) => {
        Some(PeerMessage::SlotResponse(rillford::decide::SlotResponse {
          attempt: request.attempt.clone(),
          engine: request.engine.clone(),
          granted: true,
          link_wait_ms: 0,
        }))
      }
      _ => None,
    };
    let frame = Frame {
      from: "box-0".into(),
      message,
      stamp: Stamp(1),
    };
    self.bytes += encode(&frame).map_or(0, |bytes| bytes.len() as u64);
    self.messages += 1;
    response.map(|response| Event::Peer(to.clone(), response))
  }
}

fn measure_requests(size: Size, specs: &[EndpointSpec]) {
  let mut machine = machine(size, specs);
  let mut peers = SimulatedPeers {
    bytes: 0,
    messages: 0,
  };
  let started = Instant::now();
  let mut completed = 0;
  for request in 0..REQUESTS {
    let now_ms = 2 + request * ARRIVAL_INTERVAL_MS;
    if request.is_multiple_of(REQUESTS_PER_REPORT) {
      for spec in specs
        .iter()
        .skip((request as usize * 7) % specs.len())
        .take(10)
      {
        machine.handle(now_ms, Event::LoadReported(report(spec)));
      }
    }
    let actions = machine.handle(now_ms, Event::Arrived(arrival(request)));
    completed += run_actions(&mut machine, now_ms, actions, &mut peers);
  }
  let elapsed_us = started.elapsed().as_micros() as f64;
  println!(
    "| {} | {} | {completed} | {:.1} | {:.0} | {:.1} |",
    size.boxes,
    size.endpoints,
    elapsed_us / REQUESTS as f64,
    REQUESTS as f64 * 1e6 / elapsed_us,
    peers.bytes as f64 / REQUESTS as f64,
  );
}

/// Measures a box without requests over `VIRTUAL_DURATION_S`: ticks, polls and heartbeats.
fn measure_control_loop(size: Size, specs: &[EndpointSpec]) {
  let mut machine = machine(size, specs);
  let mut peers = SimulatedPeers {
    bytes: 0,
    messages: 0,
  };
  let own_hall = hall(0, size);
  let hall_boxes = entries(size)
    .into_iter()
    .filter(|entry| entry.hall == own_hall)
    .count();
  let hall_specs = specs
    .iter()
    .filter(|spec| spec.hall == own_hall)
    .collect::<Vec<_>>();
  let loads_per_owner = hall_specs.len().div_ceil(hall_boxes);
  let senders = (hall_boxes - 1).min(rillford::decide::FULL_MESH_BOXES - 1);
  let frames = (0..senders)
    .map(|sender| {
      let loads = hall_specs
        .iter()
        .skip(sender * loads_per_owner)
        .take(loads_per_owner)
        .map(|spec| report(spec))
        .collect();
      let frame = Frame {
        from: format!("box-{}", (sender + 1) * size.halls).into(),
        message: PeerMessage::Heartbeat(Heartbeat {
          configuration_digest: 0,
          incarnation: 1,
          latest_revision: 0,
          leaving: false,
          leaving_endpoints: Vec::new(),
          loads,
        }),
        stamp: Stamp(1),
      };
      encode(&frame).unwrap_or_default()
    })
    .collect::<Vec<_>>();
  let started = Instant::now();
  let mut polls = 0;
  for tick in 1..=VIRTUAL_DURATION_S * 1_000 / TICK_MS {
    let now_ms = 10 + tick * TICK_MS;
    let mut actions = machine.handle(now_ms, Event::Tick);
    if (now_ms / TICK_MS).is_multiple_of(25) {
      for bytes in &frames {
        if let Ok(frame) = decode(bytes) {
          actions.extend(machine.handle(now_ms, Event::Peer(frame.from, frame.message)));
        }
      }
    }
    for action in actions {
      match action {
        Action::PollLoad(name) => {
          polls += 1;
          let spec = specs.iter().find(|spec| spec.name == name);
          if let Some(spec) = spec {
            black_box(machine.handle(now_ms, Event::LoadReported(report(spec))));
          }
        }
        Action::Send(to, message) => {
          black_box(peers.receive(&to, message));
        }
        _ => {}
      }
    }
  }
  let core_percent = started.elapsed().as_secs_f64() / VIRTUAL_DURATION_S as f64 * 100.0;
  println!(
    "| {} | {} | {core_percent:.3} | {:.0} | {:.1} | {:.1} |",
    size.boxes,
    size.endpoints,
    peers.bytes as f64 / VIRTUAL_DURATION_S as f64,
    peers.messages as f64 / VIRTUAL_DURATION_S as f64,
    f64::from(polls) / VIRTUAL_DURATION_S as f64,
  );
}

fn resident_kb() -> u64 {
  let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
  status
    .lines()
    .find_map(|line| line.strip_prefix("VmRSS:"))
    .and_then(|rest| rest.split_whitespace().next())
    .and_then(|number| number.parse().ok())
    .unwrap_or(0)
}

fn measure_memory(size: Size, specs: &[EndpointSpec]) {
  const COPIES: u64 = 8;
  let before_kb = resident_kb();
  let machines = (0..COPIES)
    .map(|_| machine(size, specs))
    .collect::<Vec<_>>();
  let fleet_kb = (resident_kb() - before_kb) / COPIES;
  let mut machines = machines;
  let before_kb = resident_kb();
  let mut index = 0;
  for machine in &mut machines {
    for _ in 0..1_000 {
      index += 1;
      let _ = machine.handle(2, Event::Arrived(arrival(index)));
    }
  }
  let requests_kb = (resident_kb() - before_kb) / COPIES;
  println!(
    "| {} | {} | {fleet_kb} | {requests_kb} |",
    size.boxes, size.endpoints
  );
}

fn measure_configuration(organisations: usize) {
  let mut store = Store::default();
  let keys = [hash_key("one"), hash_key("two")];
  let text: Name = format!("{{\"keys_sha256\": [\"{}\", \"{}\"]}}", keys[0], keys[1]).into();
  let document = |index: usize, revision| Document {
    key: format!("organisations/organisation-{index}").into(),
    revision,
    text: text.clone(),
  };
  for index in 0..organisations {
    let _ = store.apply(document(index, 1));
  }
  const CHANGES: usize = 200;
  let started = Instant::now();
  for change in 0..CHANGES {
    let _ = store.apply(document(change % organisations, change as u64 + 2));
    black_box((store.view().digest(), store.keys()));
  }
  let change_us = started.elapsed().as_micros() as f64 / CHANGES as f64;
  println!("| {organisations} | {change_us:.0} |");
}

fn measure_policy() {
  const CALLS: u32 = 20_000;
  let Ok(program) = Program::compile(POLICY) else {
    return;
  };
  let attributes = RequestAttributes {
    kind: "model".into(),
    max_tokens: 100,
    organisation: "organisation".into(),
    prompt_tokens: 1_000,
    subject: "model".into(),
    task: "basket".into(),
  };
  let clock = Clock::at(0, 0);
  let started = Instant::now();
  for _ in 0..CALLS {
    let _ = black_box(program.rank(&attributes, clock));
  }
  println!(
    "\npolicy: {:.1} us a rank",
    started.elapsed().as_micros() as f64 / f64::from(CALLS)
  );
}

/// Runs all measurements and prints their tables.
pub(crate) fn run() {
  let specs = SIZES.map(|size| {
    (0..size.endpoints)
      .map(|index| endpoint(index, size))
      .collect::<Vec<_>>()
  });
  println!("decide: a request from arrival to its end\n");
  println!(
    "| boxes | endpoints | ended | us a request | requests a second of a core | peer bytes a request |"
  );
  println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
  for endpoints in DECISION_ENDPOINTS {
    let size = Size {
      boxes: 1,
      endpoints,
      halls: 1,
    };
    let specs = (0..endpoints).map(|index| endpoint(index, size));
    measure_requests(size, &specs.collect::<Vec<_>>());
  }
  for (size, specs) in SIZES.iter().zip(&specs) {
    measure_requests(*size, specs);
  }
  println!("\ncontrol without requests, one box\n");
  println!(
    "| boxes | endpoints | % of a core | peer bytes a second | messages a second | polls a second |"
  );
  println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
  for (size, specs) in SIZES.iter().zip(&specs) {
    measure_control_loop(*size, specs);
  }
  println!("\nmemory of decide\n");
  println!("| boxes | endpoints | KB for the fleet | KB for 1000 waiting requests |");
  println!("| ---: | ---: | ---: | ---: |");
  for (size, specs) in SIZES.iter().zip(&specs) {
    measure_memory(*size, specs);
  }
  println!("\nconfiguration: one change applied, view and keys made anew\n");
  println!("| organisations | us a change |\n| ---: | ---: |");
  for organisations in [10, 100, 410] {
    measure_configuration(organisations);
  }
  measure_policy();
}
