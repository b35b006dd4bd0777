//! Variants that the decision simulation compares.

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

/// How well boxes know the state of the engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Knowledge {
  /// Several boxes per hall, delayed load reports and network delays.
  Real,
  /// One box per hall, no delays, known response lengths: the upper bound.
  Perfect,
}

/// Fault in the middle of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
  None,
  /// A tenth of the engines stalls for a minute.
  EnginesStall,
  /// One box crashes.
  BoxDies,
  /// Load reports are delayed by 3 s.
  LateReports,
  /// The network between one hall and the others is partitioned.
  HallCut,
  /// The key-value service is unavailable.
  PlatformAway,
  /// Half of the callers disconnect within 2 s.
  CallersLeave,
  /// Rejected callers retry at once, without the retry-after delay.
  RetryStorm,
  /// A decode engine crashes.
  EngineDies,
}

/// Settings and conditions of a run.
#[derive(Clone, Debug)]
pub struct Variant {
  /// Name in the tables.
  pub name: &'static str,
  pub tuning: Tuning,
  pub knowledge: Knowledge,
  /// Load as a fraction of the peak.
  pub load: f64,
  pub fault: Fault,
  /// Whether engines publish their cached prefixes.
  pub cache_events: bool,
}

impl Variant {
  /// The settings of the site's example.
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

  /// Changes the settings.
  pub fn tuned(mut self, change: impl FnOnce(&mut Tuning)) -> Self {
    change(&mut self.tuning);
    self
  }

  /// Sets the load.
  pub fn at(mut self, load: f64) -> Self {
    self.load = load;
    self
  }

  /// Sets the fault.
  pub fn with(mut self, fault: Fault) -> Self {
    self.fault = fault;
    self
  }

  /// The variants with perfect knowledge, the best of which is the upper bound of a seed.
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

  /// Round robin over engines, without reservations.
  pub fn round_robin(site: Site) -> Self {
    Self::shipped("round robin", site).tuned(|tuning| {
      tuning.placement = PlacementMode::RoundRobin;
      tuning.slot_mode = SlotMode::LaggingLoad;
      tuning.reserve_before_prefill = false;
      tuning.early_refusal = false;
    })
  }

  /// The less loaded of two random engines, by delayed load reports and without reservations.
  pub fn two_choices(site: Site) -> Self {
    Self::shipped("two choices", site).tuned(|tuning| {
      tuning.placement = PlacementMode::TwoChoices;
      tuning.slot_mode = SlotMode::LaggingLoad;
      tuning.reserve_before_prefill = false;
      tuning.early_refusal = false;
    })
  }

  /// The shipped placement, with slots assigned by delayed load reports.
  pub fn lagging_load(site: Site) -> Self {
    Self::shipped("lagging load", site).tuned(|tuning| tuning.slot_mode = SlotMode::LaggingLoad)
  }

  /// The shipped placement, with a fixed share of the slots for each box.
  pub fn fixed_shares(site: Site) -> Self {
    Self::shipped("fixed shares", site).tuned(|tuning| tuning.slot_mode = SlotMode::FixedShares)
  }
}
