//! Records which endpoints this box reaches.

use {
  super::gateway::Gateway,
  crate::{
    decide::Role,
    gateway::{
      decisions::{EndpointGroup, GroupLost},
      edge::EndpointEntry,
    },
    ids::Name,
  },
  std::fmt::Write,
};

impl Gateway {
  /// Records contact with an endpoint: a connection or a response.
  pub(crate) fn record_reached(&self, entry: &EndpointEntry) {
    let group = EndpointGroup::of(entry);
    let regained = self
      .reachability
      .borrow_mut()
      .record_contact(&group, self.now_ms());
    if let Some(unreachable_ms) = regained {
      self.endpoints.borrow_mut().forget_losses(&group);
      log::info!(
        "E549 endpoints reached again: {} {:?} by {}, after {unreachable_ms} ms",
        group.service,
        group.role,
        entry.id
      );
    }
  }

  /// Records that an endpoint could not be reached.
  pub(crate) fn record_unreached(&self, entry: &EndpointEntry) {
    let group = EndpointGroup::of(entry);
    let known = self.endpoints.borrow().count_group(&group);
    let lost =
      self
        .reachability
        .borrow_mut()
        .record_failure(&group, entry.id.clone(), known, self.now_ms());
    if let Some(GroupLost {
      unreached,
      contact_age_ms,
    }) = lost
    {
      log::warn!(
        "E548 endpoints unreachable from this box: {} {:?}, {unreached} of {known} tried, last contact {contact_age_ms:?} ms ago",
        group.service,
        group.role
      );
    }
  }

  /// Whether no endpoint that answers requests of a service can be reached from this box.
  pub(crate) fn is_cut_off(&self, service: &Name) -> bool {
    let reachability = self.reachability.borrow();
    answering_groups(service)
      .iter()
      .any(|group| reachability.is_unreachable(group))
  }

  /// Time since the last contact with an endpoint that answers requests of a service.
  pub(crate) fn contact_age_ms(&self, service: &Name) -> Option<u64> {
    let reachability = self.reachability.borrow();
    let now_ms = self.now_ms();
    let groups = answering_groups(service);
    let ages_ms = groups
      .iter()
      .filter_map(|group| reachability.contact_age_ms(group, now_ms));
    ages_ms.min()
  }

  /// Whether no endpoint that answers requests can be reached from this box, whatever the service.
  pub(crate) fn is_cut_off_from_all(&self) -> bool {
    let reachability = self.reachability.borrow();
    if reachability.unreachable().next().is_none() {
      return false;
    }
    let endpoints = self.endpoints.borrow();
    let mut answering = endpoints
      .entries()
      .filter(|entry| entry.role != Some(Role::Prefill));
    answering.all(|entry| reachability.is_unreachable(&EndpointGroup::of(entry)))
  }

  /// The groups of endpoints that this box can't reach, as text.
  pub(crate) fn reachability_metrics(&self) -> String {
    let mut text = String::new();
    for group in self.reachability.borrow().unreachable() {
      let role = match group.role {
        None => "none",
        Some(Role::Decode) => "decode",
        Some(Role::Prefill) => "prefill",
      };
      // Writing to a `String` cannot fail.
      let _ = writeln!(
        text,
        "rillford_unreachable{{service=\"{}\",role=\"{role}\"}} 1",
        group.service
      );
    }
    text
  }
}

/// The groups of a service's endpoints that answer requests: plain ones, and decode engines.
fn answering_groups(service: &Name) -> [EndpointGroup; 2] {
  [None, Some(Role::Decode)].map(|role| EndpointGroup {
    role,
    service: service.clone(),
  })
}
