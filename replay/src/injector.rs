//! Carries out planned work and faults on a running deployment.

use {
  super::{
    caller::{Habit, Habits},
    closing_kind::ClosingKind,
    connection_resets::reset_connections,
    error::Result,
    impairment_kind::ImpairmentKind,
    late_links::hold_late_links,
    reused_addresses::reuse_addresses,
    selection::Selection,
    server::{Condition, GarbleKind, GreyKind},
    server_cut::cut_servers,
    site::{Closing, Impairment},
    standstill::play_standstills,
    store_faults::{StoreFaultPlay, play_store_fault},
    world::World,
  },
  futures_util::future::join_all,
  stand_ins::{Cut, LinkFault},
  std::{sync::Arc, time::Duration},
  tokio::time::sleep,
};

/// Usual duration and interval of steps.
const USUAL_FOR_S: f64 = 5.0;
const USUAL_GAP_S: f64 = 1.0;
/// Time after which a box that was killed or stopped starts again.
const RESTART_S: f64 = 0.3;
/// Time from a change of the configuration to the loss that is to follow it at once.
const LOSS_DELAY_S: f64 = 0.004;
/// Added latency of a link that loses packets.
const LOSSY_DELAY_MS: u64 = 30;
/// No bound on the boxes or servers that an impairment strikes at once.
const MOST: usize = usize::MAX;

/// Carries out the impairments of a play.
#[derive(Clone)]
pub(crate) struct Injector {
  pub(crate) world: Arc<World>,
  pub(crate) habits: Habits,
  pub(crate) seed: u64,
}

impl Injector {
  /// Waits until an impairment begins, carries it out, and notes both ends in the timeline.
  pub(crate) async fn play(self, number: u64, impairment: Impairment) -> Result {
    sleep(Duration::from_secs_f64(impairment.at_s)).await;
    let Ok(kind) = impairment.kind.parse() else {
      return Ok(());
    };
    let name = format!("{} {}", impairment.kind, impairment.how);
    let recorder = &self.world.recorder;
    recorder.note(format!("fault {number} begins {}", name.trim_end()));
    let selection = Selection::new(self.seed, number);
    let result = self.carry_out(kind, &impairment, selection, number).await;
    recorder.note(format!("fault {number} ends {}", name.trim_end()));
    result
  }

  async fn carry_out(
    &self,
    kind: ImpairmentKind,
    impairment: &Impairment,
    mut draw: Selection,
    number: u64,
  ) -> Result {
    let for_s = impairment.for_s.unwrap_or(USUAL_FOR_S);
    match kind {
      ImpairmentKind::AddBoxes => self.add_boxes(impairment, &mut draw).await,
      ImpairmentKind::AnswersLost
      | ImpairmentKind::OrdersLate
      | ImpairmentKind::Garble
      | ImpairmentKind::HandlesLapse
      | ImpairmentKind::MovesSlow
      | ImpairmentKind::ServersGrey
      | ImpairmentKind::ServersSlow => {
        self
          .hold_condition(kind, impairment, &mut draw, for_s)
          .await;
        Ok(())
      }
      ImpairmentKind::Burst
      | ImpairmentKind::GiveUp
      | ImpairmentKind::RetryAbuse
      | ImpairmentKind::Shift => {
        self.hold_habit(kind, impairment, &mut draw, for_s).await;
        Ok(())
      }
      ImpairmentKind::BigConfiguration => {
        let count = impairment.count.unwrap_or_default();
        self.world.operator.add_idle_routes(count);
        Ok(())
      }
      ImpairmentKind::ConfigurationChange => {
        self.world.operator.change(&impairment.how);
        Ok(())
      }
      ImpairmentKind::ConfigurationStorm => {
        self.change_again_and_again(impairment, for_s).await;
        Ok(())
      }
      ImpairmentKind::AddressesReused => {
        let places = self.servers(impairment, &mut draw, 0.15);
        reuse_addresses(&self.world, impairment, &mut draw, &places).await
      }
      ImpairmentKind::ServersCut => {
        let places = self.servers(impairment, &mut draw, 0.2);
        cut_servers(&self.world, impairment, &mut draw, &places, for_s).await
      }
      ImpairmentKind::ConnectionsReset => {
        let boxes = draw.pick(self.world.present_boxes(), impairment, 0.1, MOST);
        let share = impairment.x.unwrap_or(0.5);
        reset_connections(&self.world, &boxes, share, self.seed ^ number);
        Ok(())
      }
      ImpairmentKind::BoxesCut => {
        self.cut_boxes(impairment, &mut draw, for_s).await;
        Ok(())
      }
      ImpairmentKind::HallCut => {
        self.cut_hall(impairment, &mut draw, for_s).await;
        Ok(())
      }
      ImpairmentKind::LateLinks => {
        let boxes = draw.pick(self.world.present_boxes(), impairment, 0.3, MOST);
        hold_late_links(&self.world, impairment, &boxes, for_s).await;
        Ok(())
      }
      ImpairmentKind::Lossy => {
        self.slow_links(impairment, &mut draw, for_s).await;
        Ok(())
      }
      ImpairmentKind::BoxesKilled | ImpairmentKind::HerdKill => {
        self.kill_boxes(kind, impairment, &mut draw, for_s).await
      }
      ImpairmentKind::KillAfterChange => {
        self.world.operator.change("timeout");
        sleep(Duration::from_secs_f64(LOSS_DELAY_S)).await;
        self.kill_boxes(kind, impairment, &mut draw, for_s).await
      }
      ImpairmentKind::BoxesFrozen => {
        self.freeze_boxes(impairment, &mut draw, for_s).await;
        Ok(())
      }
      ImpairmentKind::BoxesSlow => {
        self.slow_boxes(impairment, &mut draw, for_s).await;
        Ok(())
      }
      ImpairmentKind::HangUp => {
        self.hang_up_boxes(impairment, &mut draw).await;
        Ok(())
      }
      ImpairmentKind::RollingStop => self.stop_in_turn(impairment, &mut draw).await,
      ImpairmentKind::ReplaceBox => self.replace_box(impairment, &mut draw).await,
      ImpairmentKind::Release => self.release(impairment, &mut draw).await,
      ImpairmentKind::ServersAdded => self.add_servers(impairment, &mut draw).await,
      ImpairmentKind::ServersCrash => self.crash_servers(impairment, &mut draw, for_s).await,
      ImpairmentKind::ServersLeave => {
        self.remove_servers(impairment, &mut draw).await;
        Ok(())
      }
      ImpairmentKind::Standstill => {
        play_standstills(impairment, &mut draw, &self.world.recorder).await;
        Ok(())
      }
      ImpairmentKind::StoreCompacts
      | ImpairmentKind::StoreDown
      | ImpairmentKind::StoreLosesAnswers
      | ImpairmentKind::StoreSlow => {
        self.disturb_store(impairment, &mut draw, number).await;
        Ok(())
      }
    }
  }

  /// Boxes that an impairment strikes. Where it names the leader, that box comes first.
  fn boxes(&self, impairment: &Impairment, draw: &mut Selection, share: f64) -> Vec<usize> {
    let most = self.world.site.tolerate.machines.max(1);
    let present = self.world.present_boxes();
    let names_leader = ["leader", "giver", "renewed", "seed"];
    let leader = self.world.stores.leader().filter(|leader| {
      present.contains(leader) && names_leader.iter().any(|word| impairment.has(word))
    });
    if let Some(leader) = leader
      && impairment.count.unwrap_or(1) == 1
    {
      return vec![leader];
    }
    draw.pick(present, impairment, share, most)
  }

  /// Servers that an impairment strikes.
  fn servers(&self, impairment: &Impairment, draw: &mut Selection, share: f64) -> Vec<usize> {
    let places = self.world.serving_places(impairment.service.as_deref());
    draw.pick(places, impairment, share, MOST)
  }

  async fn add_boxes(&self, impairment: &Impairment, draw: &mut Selection) -> Result {
    let spares = self.world.spare_boxes();
    if spares.is_empty() {
      return Ok(());
    }
    for index in draw.pick(spares, impairment, 1.0, MOST) {
      self.world.recorder.note(format!("box {index} is added"));
      self.world.add_box(index).await?;
    }
    Ok(())
  }

  async fn change_again_and_again(&self, impairment: &Impairment, for_s: f64) {
    let gap_s = impairment.gap_s.unwrap_or(USUAL_GAP_S).max(0.01);
    let steps = (for_s / gap_s).ceil() as usize;
    for step in 0..steps {
      let how = if step % 2 == 0 { "timeout" } else { "idle" };
      self.world.operator.change(how);
      sleep(Duration::from_secs_f64(gap_s)).await;
    }
  }

  /// Holds a condition of servers for a time.
  async fn hold_condition(
    &self,
    kind: ImpairmentKind,
    impairment: &Impairment,
    draw: &mut Selection,
    for_s: f64,
  ) {
    let Some((condition, share)) = condition(kind, impairment) else {
      return;
    };
    let places = self.servers(impairment, draw, share);
    let servers = places.iter();
    let servers = servers.filter_map(|place| self.world.places[*place].server());
    let mut guards = Vec::new();
    for server in servers {
      let id = &server.spec().id;
      self
        .world
        .recorder
        .note(format!("server {id}: {condition:?}"));
      guards.push(server.conditions().begin(condition));
    }
    sleep(Duration::from_secs_f64(for_s)).await;
    drop(guards);
  }

  /// Holds a habit of callers for a time.
  async fn hold_habit(
    &self,
    kind: ImpairmentKind,
    impairment: &Impairment,
    draw: &mut Selection,
    for_s: f64,
  ) {
    let habit = match kind {
      ImpairmentKind::Burst => Habit::Burst {
        class: impairment.class.clone(),
        factor: impairment.x.unwrap_or(2.0),
        zone: impairment.zone.clone(),
      },
      ImpairmentKind::GiveUp => Habit::GiveUp {
        after_ms: impairment.x,
        share: impairment.share.unwrap_or(0.3),
      },
      ImpairmentKind::RetryAbuse => Habit::RetryAbuse {
        share: impairment.share.unwrap_or(0.3),
        times: impairment.x.unwrap_or(2.0) as u32,
      },
      _ => {
        let zones = self.world.site.zones.iter().map(|zone| zone.name.clone());
        let zones = draw.shuffled(zones.collect());
        let (Some(from), Some(to)) = (zones.first(), zones.get(1)) else {
          return;
        };
        Habit::Shift {
          share: impairment.share.unwrap_or(0.5),
          to_zone: impairment.to_zone.clone().unwrap_or_else(|| to.clone()),
          zone: impairment.zone.clone().unwrap_or_else(|| from.clone()),
        }
      }
    };
    let _guard = self.habits.begin(habit);
    sleep(Duration::from_secs_f64(for_s)).await;
  }

  /// Cuts boxes from the other boxes and the store, or from servers.
  async fn cut_boxes(&self, impairment: &Impairment, draw: &mut Selection, for_s: f64) {
    let boxes = self.boxes(impairment, draw, 0.1);
    let mut links = Vec::new();
    for index in &boxes {
      let is_from_servers = impairment.has("servers");
      if !is_from_servers {
        links.extend(self.world.links_to_boxes(*index));
        links.push(self.world.store_links[*index].clone());
      }
      if is_from_servers || impairment.has("all") {
        links.extend(self.world.links_to_servers(*index));
      }
    }
    let cut = cut_of(impairment);
    self
      .world
      .recorder
      .note(format!("boxes {boxes:?}: {cut:?}"));
    self.meet(impairment, for_s);
    self.world.cut(&links, cut, for_s).await;
  }

  /// Cuts a hall from the others. Callers still reach it.
  async fn cut_hall(&self, impairment: &Impairment, draw: &mut Selection, for_s: f64) {
    let Some(zone) = self.zone(impairment, draw) else {
      return;
    };
    let cut = cut_of(impairment);
    self.world.recorder.note(format!("hall {zone}: {cut:?}"));
    self.meet(impairment, for_s);
    let links = self.world.links_across(&zone);
    self.world.cut(&links, cut, for_s).await;
  }

  /// The zone that an impairment names, or one of them.
  fn zone(&self, impairment: &Impairment, draw: &mut Selection) -> Option<Arc<str>> {
    let zones: Vec<Arc<str>> = self
      .world
      .site
      .zones
      .iter()
      .map(|zone| zone.name.clone())
      .collect();
    impairment.zone.clone().or_else(|| draw.one_of(&zones))
  }

  /// Changes the configuration during an impairment and as it ends, if that is its variant.
  fn meet(&self, impairment: &Impairment, for_s: f64) {
    if !impairment.has("meet") {
      return;
    }
    let world = self.world.clone();
    tokio::spawn(async move {
      sleep(Duration::from_secs_f64(for_s / 2.0)).await;
      world.operator.change("timeout");
      sleep(Duration::from_secs_f64(for_s / 2.0)).await;
      world.operator.change("idle");
    });
  }

  async fn slow_links(&self, impairment: &Impairment, draw: &mut Selection, for_s: f64) {
    let Some(zone) = self.zone(impairment, draw) else {
      return;
    };
    let links = self.world.links_across(&zone);
    for link in &links {
      link.begin_fault(LinkFault::Delayed {
        delay_ms: LOSSY_DELAY_MS,
      });
    }
    sleep(Duration::from_secs_f64(for_s)).await;
    for link in &links {
      link.clear_fault();
    }
  }

  async fn kill_boxes(
    &self,
    kind: ImpairmentKind,
    impairment: &Impairment,
    draw: &mut Selection,
    for_s: f64,
  ) -> Result {
    let boxes = match kind {
      ImpairmentKind::HerdKill => {
        let present = self.world.present_boxes();
        let share = if impairment.on.is_some() { 1.0 } else { 0.6 };
        draw.pick(present, impairment, share, MOST)
      }
      _ => self.boxes(impairment, draw, 0.1),
    };
    self
      .world
      .recorder
      .note(format!("boxes {boxes:?} are killed"));
    if impairment.has("drain") {
      self.drain_one(draw);
    }
    self.meet(impairment, for_s);
    let is_dark = impairment.has("power") || kind == ImpairmentKind::KillAfterChange;
    let kills = boxes
      .into_iter()
      .map(|index| self.kill(index, is_dark, for_s));
    join_all(kills).await.into_iter().collect()
  }

  async fn kill(&self, index: usize, is_dark: bool, for_s: f64) -> Result {
    if is_dark {
      self.world.power_off_box(index, for_s).await
    } else {
      self.world.kill_box(index, RESTART_S).await
    }
  }

  /// A server leaves meanwhile.
  fn drain_one(&self, draw: &mut Selection) {
    let places = self.world.serving_places(None);
    if let Some(place) = draw.one_of(&places) {
      let world = self.world.clone();
      tokio::spawn(async move { world.drain_server(place, true).await });
    }
  }

  async fn freeze_boxes(&self, impairment: &Impairment, draw: &mut Selection, for_s: f64) {
    let boxes = self.boxes(impairment, draw, 0.1);
    for index in &boxes {
      self.world.boxes[*index].suspend().await;
    }
    sleep(Duration::from_secs_f64(for_s)).await;
    for index in &boxes {
      self.world.boxes[*index].resume().await;
    }
  }

  async fn slow_boxes(&self, impairment: &Impairment, draw: &mut Selection, for_s: f64) {
    let boxes = self.boxes(impairment, draw, 0.1);
    self
      .world
      .recorder
      .note(format!("boxes {boxes:?} are slow"));
    let factor = impairment.x.unwrap_or(5.0);
    let boxes = boxes.iter().map(|index| &self.world.boxes[*index]);
    let guards: Vec<_> = boxes.map(|of| of.begin_slowdown(factor)).collect();
    sleep(Duration::from_secs_f64(for_s)).await;
    drop(guards);
  }

  async fn hang_up_boxes(&self, impairment: &Impairment, draw: &mut Selection) {
    let boxes = draw.pick(self.world.present_boxes(), impairment, 0.3, MOST);
    let gap_s = impairment.gap_s.unwrap_or(USUAL_GAP_S) / boxes.len().max(1) as f64;
    for index in boxes {
      self.world.boxes[index].hang_up().await;
      sleep(Duration::from_secs_f64(gap_s)).await;
    }
  }

  /// Stops boxes, some at a time.
  async fn stop_in_turn(&self, impairment: &Impairment, draw: &mut Selection) -> Result {
    let boxes = draw.pick(self.world.present_boxes(), impairment, 1.0, MOST);
    let at_a_time = impairment.x.unwrap_or(1.0).max(1.0) as usize;
    let gap = Duration::from_secs_f64(impairment.gap_s.unwrap_or(USUAL_GAP_S));
    let mut stops = Vec::new();
    for group in boxes.chunks(at_a_time) {
      for index in group {
        let (injector, index) = (self.clone(), *index);
        let leaves = impairment.has("remove");
        stops.push(tokio::spawn(
          async move { injector.stop(index, leaves).await },
        ));
      }
      sleep(gap).await;
    }
    for stop in stops {
      // A stop is neither aborted nor does it panic.
      if let Ok(result) = stop.await {
        result?;
      }
    }
    Ok(())
  }

  async fn stop(&self, index: usize, leaves: bool) -> Result {
    self.world.recorder.note(format!("box {index} is stopped"));
    let grace = Duration::from_secs_f64(self.world.site.bounds.grace_s);
    self.world.boxes[index].terminate(grace).await?;
    if leaves {
      self.world.remove_box(index);
      return Ok(());
    }
    sleep(Duration::from_secs_f64(RESTART_S)).await;
    self.world.boxes[index].start().await
  }

  /// Replaces a box by one at other addresses.
  async fn replace_box(&self, impairment: &Impairment, draw: &mut Selection) -> Result {
    let Some(index) = self.boxes(impairment, draw, 0.0).first().copied() else {
      return Ok(());
    };
    let after_s = impairment.x.unwrap_or(1.0);
    self.world.recorder.note(format!("box {index} is replaced"));
    if impairment.has("planned") {
      let zone = &self.world.boxes[index].place().zone;
      let mut spares = self.world.spare_boxes().into_iter();
      let spare = spares.find(|spare| self.world.boxes[*spare].place().zone == *zone);
      if let Some(spare) = spare {
        self.world.add_box(spare).await?;
        sleep(Duration::from_secs_f64(after_s)).await;
        return self.stop(index, true).await;
      }
      let grace = Duration::from_secs_f64(self.world.site.bounds.grace_s);
      self.world.boxes[index].terminate(grace).await?;
    } else {
      self.world.boxes[index].kill().await?;
    }
    sleep(Duration::from_secs_f64(after_s)).await;
    self.world.move_box(index).await;
    self.world.boxes[index].start().await
  }

  /// Replaces servers of a service by ones of the other version, some at a time.
  async fn release(&self, impairment: &Impairment, draw: &mut Selection) -> Result {
    let Some(service) = self.service(impairment) else {
      return Ok(());
    };
    let places = self.world.serving_places(Some(&service));
    let places = draw.pick(places, impairment, 0.5, MOST);
    let at_a_time = impairment.x.unwrap_or(1.0).max(1.0) as usize;
    let gap = Duration::from_secs_f64(impairment.gap_s.unwrap_or(USUAL_GAP_S));
    for group in places.chunks(at_a_time) {
      for place in group {
        if let Some(beside) = self.world.empty_place_beside(*place) {
          self.world.plan_release(*place, beside);
          self.world.start_server(beside).await?;
        }
        let (world, place) = (self.world.clone(), *place);
        tokio::spawn(async move { world.drain_server(place, true).await });
      }
      sleep(gap).await;
    }
    Ok(())
  }

  /// The service that an impairment names, or the first one that runs a model.
  fn service(&self, impairment: &Impairment) -> Option<Arc<str>> {
    let services = &self.world.site.services;
    let model = services.iter().find(|service| service.llm.is_some());
    let usual = model
      .or(services.first())
      .map(|service| service.name.clone());
    impairment.service.clone().or(usual)
  }

  async fn add_servers(&self, impairment: &Impairment, draw: &mut Selection) -> Result {
    let Some(service) = self.service(impairment) else {
      return Ok(());
    };
    let places = self.world.serving_places(Some(&service));
    for place in draw.pick(places, impairment, 0.3, MOST) {
      if let Some(beside) = self.world.empty_place_beside(place) {
        self.world.start_server(beside).await?;
      }
      sleep(Duration::from_secs_f64(
        impairment.gap_s.unwrap_or(USUAL_GAP_S),
      ))
      .await;
    }
    Ok(())
  }

  async fn remove_servers(&self, impairment: &Impairment, draw: &mut Selection) {
    let Some(service) = self.service(impairment) else {
      return;
    };
    let places = self.world.serving_places(Some(&service));
    let places = draw.pick(places, impairment, 0.15, MOST);
    let drains = places.into_iter().enumerate();
    // Some servers never say that they leave.
    let drains = drains.map(|(number, place)| self.world.drain_server(place, number % 3 != 2));
    join_all(drains).await;
  }

  async fn crash_servers(
    &self,
    impairment: &Impairment,
    draw: &mut Selection,
    for_s: f64,
  ) -> Result {
    let places = self.servers(impairment, draw, 0.15);
    let is_dark = impairment.has("dark");
    for place in &places {
      if is_dark {
        self.world.darken_server(*place);
      } else {
        self.world.crash_server(*place);
      }
    }
    if impairment.has("gone") {
      return Ok(());
    }
    sleep(Duration::from_secs_f64(for_s)).await;
    for place in places {
      if is_dark {
        self.world.lighten_place(place);
      }
      self.world.start_server(place).await?;
    }
    Ok(())
  }

  async fn disturb_store(&self, impairment: &Impairment, draw: &mut Selection, number: u64) {
    let places = self.world.serving_places(None);
    let leaving = draw.one_of(&places);
    let world = self.world.clone();
    let drain = || {
      let (world, Some(place)) = (world.clone(), leaving) else {
        return;
      };
      tokio::spawn(async move { world.drain_server(place, true).await });
    };
    let meet = || self.world.operator.change("timeout");
    let play = StoreFaultPlay {
      drain: &drain,
      meet: &meet,
      recorder: &self.world.recorder,
      seed: self.seed ^ number,
    };
    play_store_fault(impairment, &self.world.stores, play).await;
  }

  /// Carries out what strikes at the end of a day: a configuration is written, and all boxes are killed or lose power.
  pub(crate) async fn close(&self, closing: &Closing) -> Result {
    let Ok(kind) = closing.kind.parse::<ClosingKind>() else {
      return Ok(());
    };
    let recorder = &self.world.recorder;
    recorder.note(format!("fault closing begins {}", closing.kind));
    self.world.operator.change("timeout");
    sleep(Duration::from_secs_f64(LOSS_DELAY_S)).await;
    let present = self.world.present_boxes();
    let leader = self.world.stores.leader();
    let lost = leader
      .filter(|leader| present.contains(leader))
      .or(present.first().copied());
    let kills = present.into_iter().map(|index| async move {
      match kind {
        ClosingKind::KillAll => self.world.kill_box(index, closing.down_s).await,
        ClosingKind::WipeAfterChange if Some(index) == lost => {
          self.world.replace_dark_box(index, closing.down_s).await
        }
        ClosingKind::PowerOffAll | ClosingKind::WipeAfterChange => {
          self.world.power_off_box(index, closing.down_s).await
        }
      }
    });
    let result = join_all(kills).await.into_iter().collect();
    recorder.note(format!("fault closing ends {}", closing.kind));
    result
  }
}

/// How an impairment cuts connections.
fn cut_of(impairment: &Impairment) -> Cut {
  if impairment.has("reset") {
    Cut::Reset
  } else {
    Cut::Hang
  }
}

/// The condition of servers that an impairment brings, and its usual share of them.
fn condition(kind: ImpairmentKind, impairment: &Impairment) -> Option<(Condition, f64)> {
  let x = impairment.x;
  Some(match kind {
    ImpairmentKind::AnswersLost => {
      let loss = Condition::AnswersLost {
        resets: impairment.has("reset"),
        share: x.unwrap_or(0.03),
      };
      (loss, 0.5)
    }
    ImpairmentKind::OrdersLate => {
      let share = x.unwrap_or(0.5);
      (Condition::OrdersLate { share }, 1.0)
    }
    ImpairmentKind::Garble => {
      let garbled = Condition::Garbled {
        kind: GarbleKind::of(&impairment.how),
        share: x.unwrap_or(0.02),
      };
      (garbled, 0.5)
    }
    ImpairmentKind::HandlesLapse => (Condition::HandlesLapse, 0.3),
    ImpairmentKind::MovesSlow => (Condition::MovesSlowed(x.unwrap_or(8.0)), 0.3),
    ImpairmentKind::ServersGrey => (grey(impairment), 0.15),
    ImpairmentKind::ServersSlow => (Condition::WorkSlowed(x.unwrap_or(4.0)), 0.15),
    _ => return None,
  })
}

/// How servers fail requests.
fn grey(impairment: &Impairment) -> Condition {
  let kinds = [
    ("shed", GreyKind::Shed),
    ("busy", GreyKind::Busy),
    ("hang", GreyKind::Hang),
    ("reset", GreyKind::Reset),
    ("mute", GreyKind::Mute),
  ];
  if impairment.has("slow") {
    return Condition::WorkSlowed(impairment.x.unwrap_or(8.0));
  }
  let named = kinds.iter().find(|(word, _)| impairment.has(word));
  Condition::Grey {
    kind: named.map_or(GreyKind::Errors, |(_, kind)| *kind),
    share: impairment.x.unwrap_or(0.4),
  }
}
