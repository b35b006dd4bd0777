//! Addresses of servers that are given to servers of another service.

use {
  super::{error::Result, selection::Selection, site::Impairment, world::World},
  futures_util::future::join_all,
  std::{sync::Arc, time::Duration},
  tokio::time::sleep,
};

/// Time after which the address of a server that has ended may be given to another service.
const REUSE_S: f64 = 2.0;

/// Ends servers for good. Others of their services start at other addresses, and servers of another service at theirs.
pub(crate) async fn reuse_addresses(
  world: &Arc<World>,
  impairment: &Impairment,
  draw: &mut Selection,
  places: &[usize],
) -> Result {
  let is_dark = impairment.has("dark");
  let mut reused = Vec::new();
  for place in places {
    let service = world.places[*place].service();
    let others = world.site.services.iter().map(|of| of.name.clone());
    let others: Vec<Arc<str>> = others.filter(|name| *name != service).collect();
    reused.push((*place, draw.one_of(&others).unwrap_or(service)));
    if let Some(beside) = world.empty_place_beside(*place) {
      world.plan_same_version(beside, *place);
      world.start_server(beside).await?;
    }
  }
  if impairment.has("drain") {
    let drains = places.iter().map(|place| world.drain_server(*place, true));
    join_all(drains).await;
  } else {
    for place in places {
      match is_dark {
        true => world.darken_server(*place),
        false => world.crash_server(*place),
      };
    }
  }
  for (place, service) in &reused {
    world.places[*place].give_to(service.clone());
  }
  sleep(Duration::from_secs_f64(REUSE_S)).await;
  for (place, service) in reused {
    if is_dark {
      world.lighten_place(place);
    }
    world
      .recorder
      .note(format!("place {place} is given to {service}"));
    let serving = world.serving_places(Some(&service));
    if let Some(other) = serving.first() {
      world.plan_same_version(place, *other);
    }
    world.start_server(place).await?;
  }
  Ok(())
}
