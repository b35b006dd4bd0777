//! Load reports with delays, and cache events with delays and losses.

use {
  super::{
    super::variant::{Fault, Knowledge},
    CACHE_EVENT_DELAY_US, CACHE_EVENT_LOSS, LOCAL_DELAY_US, REPORT_DELAY_US, SLOW_REPORT_DELAY_US,
    SimEvent, World,
  },
  rand::RngExt,
  rillford::{
    decide::{Event, LoadReport},
    ids::Name,
  },
};

impl World {
  pub(super) fn poll(&mut self, index: usize, endpoint: Name) {
    let now_us = self.schedule.now_us;
    let Some(engine) = self.engine_index.get(&endpoint).copied() else {
      return self.poll_service(index, endpoint);
    };
    if self.engines[engine].is_dead {
      return;
    }
    self.engines[engine].advance(now_us);
    let report_delay_us = match (self.variant.knowledge, self.variant.fault) {
      (Knowledge::Perfect, _) => 0,
      (_, Fault::LateReports) if self.is_fault_active => SLOW_REPORT_DELAY_US,
      _ => REPORT_DELAY_US,
    };
    let target = &mut self.engines[engine];
    let report = target.report();
    target.reports.push_back((now_us, report));
    while target.reports.len() > 1 && target.reports[1].0 + report_delay_us <= now_us {
      target.reports.pop_front();
    }
    let (made_us, report) = target.reports[0].clone();
    let report = LoadReport {
      age_ms: (now_us - made_us) / 1_000,
      ..report
    };
    let delay_us = self.delay_us(0, 0);
    let event = Event::LoadReported(report);
    self
      .schedule
      .after(delay_us, SimEvent::Deliver(index, event));
    self.publish_cache(index, engine);
  }

  pub(super) fn publish_cache(&mut self, index: usize, engine: usize) {
    let blocks = std::mem::take(&mut self.engines[engine].unpublished_blocks);
    if !self.variant.cache_events || self.random.random::<f64>() < CACHE_EVENT_LOSS {
      return;
    }
    if !blocks.is_empty() {
      let event = Event::CacheReported(self.engines[engine].spec.name.clone(), blocks);
      let delivery = SimEvent::Deliver(index, event);
      self.schedule.after(CACHE_EVENT_DELAY_US, delivery);
    }
  }

  pub(super) fn poll_service(&mut self, index: usize, endpoint: Name) {
    let busy = self
      .services
      .get(&endpoint)
      .map_or(0, |service| service.busy);
    let report = LoadReport {
      age_ms: 0,
      endpoint,
      incarnation: 1,
      leaving: false,
      queue_tokens: 0,
      role: None,
      slots: 16,
      used_slots: busy,
    };
    let event = Event::LoadReported(report);
    self
      .schedule
      .after(LOCAL_DELAY_US, SimEvent::Deliver(index, event));
  }
}
