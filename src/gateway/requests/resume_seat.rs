//! A seat for a stream that goes on, at the engine that still keeps its prompt: nothing is read again there.

use {
  super::seat::ask_seat,
  crate::{
    decide::Role,
    gateway::{
      edge::{EndpointEntry, PromptSegment},
      stages::{Purpose, Reservation, RoutedRequest, call_engine},
      state::Gateway,
    },
    ids::Name,
  },
  futures_util::future::join_all,
  std::rc::Rc,
};

/// Part of a prompt that has to be kept for its stream to go on there: the engine reads the rest at half the pace.
const LEAST_KEPT_SHARE: f64 = 0.5;

/// Reserves a seat at an engine that keeps the prompt: the one that wrote the stream so far, or one that lists it.
pub(crate) async fn reserve_resume_seat(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  wrote_it: Option<&Name>,
) -> Option<(EndpointEntry, Reservation)> {
  let keeping = match wrote_it {
    Some(engine) => vec![engine.clone()],
    None => engines_that_keep(gateway, request).await,
  };
  for engine in keeping {
    let entry = {
      let book = gateway.book.borrow();
      book.entry(&engine).cloned()
    };
    let may_write = |entry: &EndpointEntry| {
      entry.role == Some(Role::Decode)
        && request.allowed_halls.contains(&entry.hall)
        && gateway.check(entry).is_ok()
    };
    let Some(entry) = entry.filter(may_write) else {
      continue;
    };
    if let Some(reservation) =
      ask_seat(gateway, request, &entry, request.expected_response_tokens()).await
    {
      log::info!("E521 prompt kept: {} goes on at {}", request.id(), entry.id);
      return Some((entry, reservation));
    }
  }
  None
}

/// The engines that list enough of the prompt's beginning, those with most of it first. The listing of a service is
/// asked for once in a while, by the first request that needs it.
async fn engines_that_keep(gateway: &Rc<Gateway>, request: &RoutedRequest) -> Vec<Name> {
  let listing = gateway.kept_prompts(&request.service);
  let mut kept = listing.lock().await;
  if !kept.is_fresh(gateway.now_ms()) {
    kept.begin(gateway.now_ms());
    let engines = writing_engines(gateway, &request.service);
    let lists = join_all(engines.iter().map(|engine| list_kept(gateway, engine))).await;
    for (engine, parts) in engines.iter().zip(lists) {
      kept.add(&engine.id, parts);
    }
  }
  let least = (request.attributes.prompt_tokens as f64 * LEAST_KEPT_SHARE) as u64;
  let engines = kept.engines(&request.attributes.prompt_segments);
  log::info!("E523 kept: {} {:?}", request.id(), engines);
  engines
    .into_iter()
    .filter(|(_, tokens)| *tokens >= least)
    .map(|(engine, _)| engine)
    .collect()
}

fn writing_engines(gateway: &Gateway, service: &Name) -> Vec<EndpointEntry> {
  let book = gateway.book.borrow();
  book
    .entries()
    .filter(|entry| entry.service == *service && entry.role == Some(Role::Decode))
    .filter(|entry| gateway.check(entry).is_ok())
    .cloned()
    .collect()
}

/// What one engine keeps; nothing when it does not say.
async fn list_kept(gateway: &Rc<Gateway>, engine: &EndpointEntry) -> Vec<PromptSegment> {
  let call = gateway.codec.cached_prompts_call();
  let listed = match call_engine(gateway, engine, call, Purpose::Call).await {
    Ok(body) => gateway
      .codec
      .cached_segments(&body)
      .map_err(|error| error.to_string()),
    Err(error) => Err(error.to_string()),
  };
  listed.unwrap_or_else(|error| {
    log::info!("E522 kept prompts not listed: {}: {error}", engine.id);
    Vec::new()
  })
}
