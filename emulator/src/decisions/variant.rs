//! What is compared in the decision bench.

use {
  super::workload::Site,
  rillford::{
    configuration::PlatformDocument,
    decide::{PlacementMode, SlotMode, Tuning},
  },
};

const OSLO: &str = include_str!("../../../examples/oslo/platform.json");
const SARIWA: &str = include_str!("../../../examples/sariwa/platform.json");

fn example(site: Site) -> Tuning {
  let text = match site {
    Site::Oslo => OSLO,
    Site::Sariwa => SARIWA,
  };
  let document = serde_json::from_str::<PlatformDocument>(text);
  document.expect("the example is a platform document").tuning
}

/// How well boxes know the engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Knowledge {
  /// Several boxes, reports with a lag, delays between all.
  Real,
  /// One box a hall, no lag, no delay, exact lengths: the upper bound.
  Perfect,
}

/// What goes wrong in the middle of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
  /// Nothing.
  None,
  /// A tenth of the engines stall for a minute.
  EnginesStall,
  /// One box dies.
  BoxDies,
  /// Reports are three seconds late.
  LateReports,
  /// One hall's boxes can't reach the other halls nor the platform.
  HallCut,
  /// The key-value service is away.
  PlatformAway,
  /// Half of the callers leave within two seconds.
  CallersLeave,
  /// Callers who are refused come back at once, not when they are told.
  RetryStorm,
  /// A decode engine dies.
  EngineDies,
}

/// One way of deciding.
#[derive(Clone, Debug)]
pub struct Variant {
  /// Its name in tables.
  pub name: &'static str,
  /// The knobs.
  pub tuning: Tuning,
  /// What boxes know.
  pub knowledge: Knowledge,
  /// Load as a share of the peak.
  pub load: f64,
  /// What goes wrong.
  pub fault: Fault,
  /// Whether cached prefixes are published by engines.
  pub cache_events: bool,
}

impl Variant {
  /// The design as the site's example ships it.
  pub fn shipped(name: &'static str, site: Site) -> Self {
    Self {
      cache_events: true,
      fault: Fault::None,
      knowledge: Knowledge::Real,
      load: 1.0,
      name,
      tuning: example(site),
    }
  }

  /// The same with other knobs.
  pub fn tuned(mut self, change: impl FnOnce(&mut Tuning)) -> Self {
    change(&mut self.tuning);
    self
  }

  /// The same at another load.
  pub fn at(mut self, load: f64) -> Self {
    self.load = load;
    self
  }

  /// The same with a fault.
  pub fn with(mut self, fault: Fault) -> Self {
    self.fault = fault;
    self
  }

  /// Perfect knowledge, no lag: the best of several ways counts, run by run.
  pub fn perfect(site: Site) -> Vec<Self> {
    let perfect = |variant: Self| Self {
      knowledge: Knowledge::Perfect,
      name: "upper bound",
      ..variant
    };
    vec![
      perfect(Self::lagging_load(site)),
      perfect(Self::shipped("", site).tuned(|tuning| tuning.reserve_before_prefill = false)),
      perfect(Self::two_choices(site)),
      perfect(Self::shipped("", site).tuned(|tuning| tuning.full_backoff_ms = 10)),
      perfect(Self::shipped("", site).tuned(|tuning| tuning.slot_certainty = 0.5)),
      perfect(Self::shipped("", site)),
    ]
  }

  /// Round robin over engines, no reservation.
  pub fn round_robin(site: Site) -> Self {
    Self::shipped("round robin", site).tuned(|tuning| {
      tuning.placement = PlacementMode::RoundRobin;
      tuning.slot_mode = SlotMode::LaggingLoad;
      tuning.reserve_before_prefill = false;
      tuning.early_refusal = false;
    })
  }

  /// The less loaded of two, by lagging load, no reservation.
  pub fn two_choices(site: Site) -> Self {
    Self::shipped("two choices", site).tuned(|tuning| {
      tuning.placement = PlacementMode::TwoChoices;
      tuning.slot_mode = SlotMode::LaggingLoad;
      tuning.reserve_before_prefill = false;
      tuning.early_refusal = false;
    })
  }

  /// The shipped placement, with seats by lagging load.
  pub fn lagging_load(site: Site) -> Self {
    Self::shipped("lagging load", site).tuned(|tuning| tuning.slot_mode = SlotMode::LaggingLoad)
  }

  /// The shipped placement, with a fixed share of seats for each box.
  pub fn fixed_shares(site: Site) -> Self {
    Self::shipped("fixed shares", site).tuned(|tuning| tuning.slot_mode = SlotMode::FixedShares)
  }
}
