//! Checks of a site file beyond its form.

use super::{Day, Impairment, RequestClass, RequestKind, Site, Traffic};

/// What is wrong with a site, if anything.
type Checked = Result<(), String>;

impl Site {
  /// Checks that names are defined and figures make sense. Gives what is wrong.
  pub(super) fn check(&self) -> Checked {
    if self.fronts().map(|of| of.count).sum::<usize>() == 0 {
      return Err("no front machines".into());
    }
    check_length("site", self.length_s)?;
    for machines in &self.machines {
      self.check_zone("machines", &machines.zone)?;
      if !is_positive(machines.cpu_share) {
        return Err(format!(
          "machines of zone {}: cpu_share is {}",
          machines.zone, machines.cpu_share
        ));
      }
    }
    for service in &self.services {
      let place = format!("service {}", service.name);
      for servers in &service.servers {
        self.check_zone(&place, &servers.zone)?;
      }
    }
    for class in &self.classes {
      self.check_class(class)?;
    }
    self.check_traffic("site", &self.traffic)?;
    self.check_impairments("troubles", &self.troubles)?;
    self.days.iter().try_for_each(|day| self.check_day(day))
  }

  fn check_class(&self, class: &RequestClass) -> Checked {
    let (name, service) = (&class.name, &class.service);
    let Some(service) = self.service(service) else {
      return Err(format!("class {name}: no service {service}"));
    };
    let is_stream = class.kind == RequestKind::Stream;
    if is_stream && class.stream.is_none() {
      return Err(format!("class {name}: a stream without its shape"));
    }
    if is_stream && service.llm.is_none() {
      let service = &service.name;
      return Err(format!("class {name}: service {service} has no model"));
    }
    Ok(())
  }

  fn check_day(&self, day: &Day) -> Checked {
    let place = format!("day {}", day.name);
    if let Some(length_s) = day.length_s {
      check_length(&place, length_s)?;
    }
    self.check_traffic(&place, day.traffic.as_deref().unwrap_or_default())?;
    self.check_impairments(&place, &day.plan)?;
    self.check_impairments(&place, &day.faults)
  }

  fn check_traffic(&self, place: &str, traffic: &[Traffic]) -> Checked {
    for traffic in traffic {
      let place = format!("{place}, traffic");
      self.check_zone(&place, &traffic.zone)?;
      for class in traffic.mix.keys() {
        self.check_class_name(&place, class)?;
      }
      let weights = traffic.mix.values();
      if !is_positive(traffic.per_s) || !is_positive(weights.sum()) {
        return Err(format!("{place}: no rate or no mix in {}", traffic.zone));
      }
    }
    Ok(())
  }

  fn check_impairments(&self, place: &str, impairments: &[Impairment]) -> Checked {
    for impairment in impairments {
      let place = format!("{place}, {}", impairment.kind);
      for zone in [&impairment.zone, &impairment.to_zone]
        .into_iter()
        .flatten()
      {
        self.check_zone(&place, zone)?;
      }
      if let Some(class) = &impairment.class {
        self.check_class_name(&place, class)?;
      }
      if let Some(service) = impairment
        .service
        .as_ref()
        .filter(|name| self.service(name).is_none())
      {
        return Err(format!("{place}: no service {service}"));
      }
      impairment.check(&place)?;
    }
    Ok(())
  }

  fn check_zone(&self, place: &str, name: &str) -> Checked {
    match self.region(name) {
      Some(_) => Ok(()),
      None => Err(format!("{place}: no zone {name}")),
    }
  }

  fn check_class_name(&self, place: &str, name: &str) -> Checked {
    match self.class(name) {
      Some(_) => Ok(()),
      None => Err(format!("{place}: no class {name}")),
    }
  }
}

fn check_length(place: &str, length_s: f64) -> Checked {
  if is_positive(length_s) {
    return Ok(());
  }
  Err(format!("{place}: length_s is {length_s}"))
}

fn is_positive(value: f64) -> bool {
  value > 0.0 && value.is_finite()
}
