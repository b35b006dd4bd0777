//! Servers that are cut from the store, or from some of the boxes.

use {
  super::{error::Result, selection::Selection, site::Impairment, world::World},
  stand_ins::{Cut, FaultGuard, Lateness, Link, LinkFault},
  std::{collections::BTreeSet, sync::Arc, time::Duration},
  tokio::time::sleep,
};

/// Share of the boxes that a variant names.
const BOX_SHARE: f64 = 0.3;
/// How late the traffic of links is that lose three packets in ten.
const LOSSY: Lateness = Lateness {
  is_back_only: false,
  least_ms: 100,
  most_ms: 600,
};

/// Cuts servers from the store, which takes their entries out after some silence; boxes still reach them. By the variant, some boxes are
/// cut off with them (`fronts`), or only some boxes lose the servers (`some`), and servers start again behind the cut (`reborn`).
pub(crate) async fn cut_servers(
  world: &Arc<World>,
  impairment: &Impairment,
  draw: &mut Selection,
  places: &[usize],
  for_s: f64,
) -> Result {
  let is_some = impairment.has("some");
  let boxes = match is_some || impairment.has("fronts") {
    true => draw_boxes(world, impairment, draw),
    false => BTreeSet::new(),
  };
  let links = if is_some {
    links_to_servers(world, places, &boxes)
  } else {
    links_out_of(world, &boxes)
  };
  let line = format!("places {places:?} are cut off, beside boxes {boxes:?}");
  world.recorder.note(line);
  if !is_some {
    for place in places {
      world.places[*place].begin_store_cut();
    }
  }
  let cut = LinkCut::begin(impairment, links);
  sleep(Duration::from_secs_f64(for_s / 2.0)).await;
  if impairment.has("reborn") {
    restart_servers(world, places).await?;
  }
  sleep(Duration::from_secs_f64(for_s / 2.0)).await;
  cut.end();
  if !is_some {
    for place in places {
      world.places[*place].end_store_cut();
    }
  }
  Ok(())
}

fn draw_boxes(world: &World, impairment: &Impairment, draw: &mut Selection) -> BTreeSet<usize> {
  let share = Impairment {
    share: Some(impairment.x.unwrap_or(BOX_SHARE)),
    ..Impairment::default()
  };
  let boxes = draw.pick(world.present_boxes(), &share, BOX_SHARE, usize::MAX);
  boxes.into_iter().collect()
}

/// The links of boxes to the servers at places.
fn links_to_servers(world: &World, places: &[usize], boxes: &BTreeSet<usize>) -> Vec<Link> {
  let places = places.iter().map(|place| &world.places[*place]);
  let links = places.flat_map(|place| boxes.iter().map(|index| place.links[*index].clone()));
  links.collect()
}

/// The links of boxes to the store and to all boxes that are not among them.
fn links_out_of(world: &World, boxes: &BTreeSet<usize>) -> Vec<Link> {
  let between = world.box_links.iter();
  let between = between.filter(|((from, to), _)| boxes.contains(from) != boxes.contains(to));
  let stores = boxes.iter().map(|index| &world.store_links[*index]);
  let links = between.map(|(_, link)| link).chain(stores);
  links.cloned().collect()
}

/// Crashes servers and starts ones with new ids in their places.
async fn restart_servers(world: &Arc<World>, places: &[usize]) -> Result {
  for place in places {
    if world.crash_server(*place) {
      world.start_server(*place).await?;
    }
  }
  Ok(())
}

/// How links are cut.
enum LinkCut {
  /// In both directions.
  Both(Cut, Vec<Link>),
  /// What comes back is lost.
  Back(Vec<Link>),
  /// Packets are lost and sent again.
  Lossy { _guards: Vec<FaultGuard> },
}

impl LinkCut {
  fn begin(impairment: &Impairment, links: Vec<Link>) -> Self {
    if impairment.has("lossy") {
      let guards = links.iter().map(|link| link.begin_lateness(LOSSY));
      return Self::Lossy {
        _guards: guards.collect(),
      };
    }
    if impairment.has("one_way") {
      for link in &links {
        link.begin_fault(LinkFault::BlockedBack);
      }
      return Self::Back(links);
    }
    let cut = match impairment.has("reset") {
      true => Cut::Reset,
      false => Cut::Hang,
    };
    for link in &links {
      link.begin_cut(cut);
    }
    Self::Both(cut, links)
  }

  fn end(self) {
    match self {
      Self::Both(cut, links) => links.iter().for_each(|link| link.end_cut(cut)),
      Self::Back(links) => links.iter().for_each(Link::clear_fault),
      Self::Lossy { .. } => {}
    }
  }
}
