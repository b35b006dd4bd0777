//! Sites and their load.

use {
  rand::{Rng, RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    decide::{BLOCK_TOKENS, EndpointKind, EndpointSpec, Role},
    ids::Name,
  },
};

/// The simulated site. The tables print the variants' names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Site {
  /// Long lecture prompts, few engines.
  Oslo,
  /// Short interactive prompts, and calls of a plain service.
  Sariwa,
}

/// The shape of the load over the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Day {
  /// The peak, after a short warm-up.
  Peak,
  /// A compressed day with a morning, a peak, an evening and a night without load.
  Whole,
}

/// A request of the load.
#[derive(Clone, Debug)]
pub(super) struct RequestSpec {
  pub(super) at_us: u64,
  pub(super) hall: usize,
  pub(super) organisation: Name,
  pub(super) task: Name,
  pub(super) prompt_tokens: u64,
  pub(super) prefix: Vec<u64>,
  pub(super) output_tokens: u64,
  pub(super) max_tokens: u64,
  /// Latency target of the first token, or of the whole call.
  pub(super) first_token_ms: u64,
  /// Whether it is a plain call instead of a completion.
  pub(super) is_call: bool,
  /// Time from the arrival until the caller disconnects.
  pub(super) disconnects_after_us: Option<u64>,
}

/// A site's halls, engines, boxes and rates.
pub(super) struct SitePlan {
  pub(super) halls: Vec<Name>,
  pub(super) boxes: Vec<usize>,
  pub(super) engines: Vec<EndpointSpec>,
  pub(super) hall_delay_us: u64,
  pub(super) calls_per_s: f64,
  pub(super) completions_per_s: f64,
  pub(super) policy: &'static str,
  pub(super) token_base_us: u64,
  pub(super) token_slope_us: u64,
}

/// Period before the measured one.
pub(super) const WARM_UP_S: u64 = 40;
pub(super) const PEAK_S: u64 = 180;
pub(super) const DAY_S: u64 = 900;

/// Latency target between tokens.
pub(super) const BETWEEN_TOKEN_MS: f64 = 36.0;

const OSLO_POLICY: &str = include_str!("../../../examples/oslo/policy.rhai");
const SARIWA_POLICY: &str = include_str!("../../../examples/sariwa/policy.rhai");

struct HallEngines {
  prefill: usize,
  decode: usize,
  services: usize,
}

fn endpoints(site: Site, halls: &[Name], per_hall: &[HallEngines]) -> Vec<EndpointSpec> {
  let mut specs = Vec::new();
  let (prefill_rate, slots) = match site {
    Site::Oslo => (16_000, 8),
    Site::Sariwa => (12_000, 16),
  };
  for (hall, engines) in halls.iter().zip(per_hall) {
    let mut push = |name: String, kind: EndpointKind, slots: u32| {
      specs.push(EndpointSpec {
        hall: hall.clone(),
        kind,
        kv_bytes_per_token: 131_072,
        link_bytes_per_s: 12_500_000_000,
        name: name.into(),
        prefill_tokens_per_s: prefill_rate,
        slots,
      });
    };
    let engine = |role| EndpointKind::Engine {
      checks_fence: true,
      models: vec!["model".into()],
      role,
    };
    for index in 0..engines.prefill {
      push(format!("{hall}-p{index}"), engine(Role::Prefill), 32);
    }
    for index in 0..engines.decode {
      push(format!("{hall}-d{index}"), engine(Role::Decode), slots);
    }
    for index in 0..engines.services {
      let kind = EndpointKind::Service {
        service: "store".into(),
      };
      push(format!("{hall}-s{index}"), kind, 16);
    }
  }
  specs
}

impl SitePlan {
  pub(super) fn of(site: Site) -> Self {
    let halls: Vec<Name> = vec!["h1".into(), "h2".into(), "h3".into()];
    let of = |prefill, decode, services| HallEngines {
      decode,
      prefill,
      services,
    };
    match site {
      Site::Oslo => Self {
        completions_per_s: 6.4,
        hall_delay_us: 1_500,
        boxes: vec![3, 3, 2],
        calls_per_s: 6.0,
        engines: endpoints(site, &halls, &[of(2, 2, 1), of(1, 2, 1), of(1, 2, 1)]),
        halls,
        policy: OSLO_POLICY,
        token_base_us: 18_000,
        token_slope_us: 1_800,
      },
      Site::Sariwa => Self {
        completions_per_s: 74.0,
        hall_delay_us: 500,
        boxes: vec![3, 3, 2],
        calls_per_s: 60.0,
        engines: endpoints(site, &halls, &[of(2, 5, 1), of(2, 5, 1), of(2, 4, 1)]),
        halls,
        policy: SARIWA_POLICY,
        token_base_us: 16_000,
        token_slope_us: 1_000,
      },
    }
  }

  /// Each hall's share of the load, in proportion to its decode engines.
  fn shares(&self) -> Vec<f64> {
    let decode_engines = |hall: &Name| {
      self
        .engines
        .iter()
        .filter(|spec| {
          spec.hall == *hall
            && matches!(&spec.kind, EndpointKind::Engine { role, .. } if *role == Role::Decode)
        })
        .count() as f64
    };
    let counts = self.halls.iter().map(decode_engines).collect::<Vec<_>>();
    let total = counts.iter().sum::<f64>();
    counts.into_iter().map(|count| count / total).collect()
  }
}

pub(super) fn run_s(day: Day) -> u64 {
  match day {
    Day::Peak => WARM_UP_S + PEAK_S,
    Day::Whole => DAY_S,
  }
}

/// The load at a time as a fraction of the peak.
fn load_shape(day: Day, time_s: f64) -> f64 {
  match day {
    Day::Peak => (time_s / WARM_UP_S as f64).min(1.0),
    Day::Whole => {
      let phase = std::f64::consts::TAU * time_s / DAY_S as f64;
      (0.5 - 0.62 * phase.cos()).clamp(0.0, 1.0)
    }
  }
}

fn exponential(random: &mut impl Rng, mean: f64) -> f64 {
  -mean * (1.0 - random.random::<f64>()).ln()
}

fn log_uniform(random: &mut impl Rng, low: u64, high: u64) -> u64 {
  let low_ln = (low as f64).ln();
  let high_ln = (high as f64).ln();
  (low_ln + random.random::<f64>() * (high_ln - low_ln)).exp() as u64
}

struct Task {
  name: &'static str,
  share: f64,
  prompt: (u64, u64),
  output: (u64, u64),
  first_token_ms: u64,
  /// Number of subjects. Prompts with the same subject share most of their blocks. 0 for none.
  subjects: u64,
}

const OSLO_TASKS: [Task; 3] = [
  Task {
    first_token_ms: 8_000,
    name: "summary",
    output: (150, 500),
    prompt: (6_000, 20_000),
    share: 0.3,
    subjects: 40,
  },
  Task {
    first_token_ms: 8_000,
    name: "quiz",
    output: (150, 400),
    prompt: (4_000, 16_000),
    share: 0.2,
    subjects: 40,
  },
  Task {
    first_token_ms: 1_400,
    name: "question",
    output: (60, 300),
    prompt: (1_000, 6_000),
    share: 0.5,
    subjects: 40,
  },
];

const SARIWA_TASKS: [Task; 3] = [
  Task {
    first_token_ms: 1_400,
    name: "basket",
    output: (40, 200),
    prompt: (300, 1_500),
    share: 0.5,
    subjects: 6,
  },
  Task {
    first_token_ms: 1_400,
    name: "substitution",
    output: (40, 160),
    prompt: (200, 900),
    share: 0.35,
    subjects: 6,
  },
  Task {
    first_token_ms: 1_400,
    name: "refund",
    output: (60, 240),
    prompt: (300, 1_200),
    share: 0.15,
    subjects: 6,
  },
];

const ORGANISATIONS: [(&str, f64); 4] = [("a", 0.55), ("b", 0.2), ("c", 0.15), ("d", 0.1)];

fn pick<'a, T>(random: &mut impl Rng, items: &'a [T], share: impl Fn(&T) -> f64) -> &'a T {
  let mut draw = random.random::<f64>();
  for item in items {
    draw -= share(item);
    if draw <= 0.0 {
      return item;
    }
  }
  &items[items.len() - 1]
}

/// Blocks of a prompt: four fifths are shared by all prompts of the subject, the rest is unique to the request.
fn prefix(subject: Option<u64>, prompt_tokens: u64, unique: u64) -> Vec<u64> {
  const MAX_BLOCKS: u64 = 64;
  let blocks = (prompt_tokens / BLOCK_TOKENS).min(MAX_BLOCKS);
  let shared = blocks * 4 / 5;
  (0..blocks)
    .map(|index| match subject {
      Some(subject) if index < shared => subject * 1_000 + index,
      _ => (1 << 40) + unique * 1_000 + index,
    })
    .collect()
}

/// Draws all requests of a run.
pub(super) fn requests(
  plan: &SitePlan,
  site: Site,
  day: Day,
  load: f64,
  seed: u64,
) -> Vec<RequestSpec> {
  let mut random = ChaCha8Rng::seed_from_u64(seed);
  let mut requests = Vec::new();
  let tasks = match site {
    Site::Oslo => &OSLO_TASKS,
    Site::Sariwa => &SARIWA_TASKS,
  };
  let shares = plan.shares();
  let end_s = run_s(day) as f64;
  for is_call in [false, true] {
    let rate = if is_call {
      plan.calls_per_s
    } else {
      plan.completions_per_s
    };
    let rate = rate * load;
    let mut time_s = 0.0;
    loop {
      time_s += exponential(&mut random, 1.0 / rate);
      if time_s >= end_s {
        break;
      }
      if random.random::<f64>() > load_shape(day, time_s) {
        continue;
      }
      let halls = shares.iter().enumerate().collect::<Vec<_>>();
      let hall = pick(&mut random, &halls, |(_, share)| **share).0;
      let organisation = pick(&mut random, &ORGANISATIONS, |(_, share)| *share).0;
      let task = pick(&mut random, tasks, |task| task.share);
      let unique = requests.len() as u64;
      let prompt_tokens = log_uniform(&mut random, task.prompt.0, task.prompt.1);
      let output_tokens = log_uniform(&mut random, task.output.0, task.output.1);
      let subject = (task.subjects > 0).then(|| random.random_range(0..task.subjects));
      requests.push(RequestSpec {
        at_us: (time_s * 1e6) as u64,
        first_token_ms: if is_call { 300 } else { task.first_token_ms },
        hall,
        is_call,
        disconnects_after_us: None,
        max_tokens: (output_tokens * 3 / 2).max(64),
        organisation: organisation.into(),
        output_tokens,
        prefix: prefix(subject, prompt_tokens, unique),
        prompt_tokens,
        task: match (is_call, site) {
          (true, Site::Oslo) => "lookup".into(),
          (true, Site::Sariwa) => "checkout".into(),
          (false, _) => task.name.into(),
        },
      });
    }
  }
  requests.sort_by_key(|spec| spec.at_us);
  requests
}
