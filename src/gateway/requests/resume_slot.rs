//! Reserves a batch slot for a resumed stream at an engine that still has its prompt cached, which saves the prefill.

use {
  super::slot::request_slot,
  crate::{
    decide::Role,
    gateway::{
      edge::{EndpointEntry, PromptSegment, SoftwareVersion},
      stages::{Purpose, Reservation, RoutedRequest, call_engine},
      state::Gateway,
    },
    ids::Name,
  },
  futures_util::future::join_all,
  std::rc::Rc,
};

/// Fraction of the prompt that has to be cached: a decode engine prefills the rest more slowly than a prefill engine.
const MIN_CACHED_SHARE: f64 = 0.5;

/// Reserves a slot at an engine that has the prompt cached: the one where the stream was interrupted, or one that lists it.
pub(crate) async fn reserve_resume_slot(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  interrupted_at: Option<&Name>,
  version: Option<&SoftwareVersion>,
) -> Option<(EndpointEntry, Reservation)> {
  let engines = match interrupted_at {
    Some(engine) => vec![engine.clone()],
    None => engines_with_prompt(gateway, request).await,
  };
  for engine in engines {
    let entry = {
      let endpoints = gateway.endpoints.borrow();
      endpoints.entry(&engine).cloned()
    };
    let may_decode = |entry: &EndpointEntry| {
      entry.role == Some(Role::Decode)
        && version.is_none_or(|version| may_go_on(gateway, entry, version))
        && request.allowed_halls.contains(&entry.hall)
        && gateway.check(entry).is_ok()
    };
    let Some(entry) = entry.filter(may_decode) else {
      continue;
    };
    if let Ok(reservation) =
      request_slot(gateway, request, &entry, request.expected_response_tokens()).await
    {
      log::info!(
        "E521 prompt cached: {} resumes at {}",
        request.id(),
        entry.id
      );
      return Some((entry, reservation));
    }
  }
  None
}

/// Whether an engine is known to have a version.
fn may_go_on(gateway: &Gateway, entry: &EndpointEntry, version: &SoftwareVersion) -> bool {
  entry.version == *version && gateway.endpoints.borrow().is_version_known(entry)
}

/// The engines that have enough of the prompt's prefix cached, the longest prefix first. The listings of a service are refreshed by
/// the first request that needs them.
async fn engines_with_prompt(gateway: &Rc<Gateway>, request: &RoutedRequest) -> Vec<Name> {
  let listing = gateway.cached_prompts(&request.service);
  let mut cached = listing.lock().await;
  if !cached.is_fresh(gateway.now_ms()) {
    cached.begin(gateway.now_ms());
    let engines = decode_engines(gateway, &request.service);
    let lists = join_all(engines.iter().map(|engine| list_cached(gateway, engine))).await;
    for (engine, segments) in engines.iter().zip(lists) {
      cached.add(&engine.id, segments);
    }
  }
  let min_tokens = (request.attributes.prompt_tokens as f64 * MIN_CACHED_SHARE) as u64;
  let engines = cached.engines(&request.attributes.prompt_segments);
  log::info!("E523 cached: {} {:?}", request.id(), engines);
  engines
    .into_iter()
    .filter(|(_, tokens)| *tokens >= min_tokens)
    .map(|(engine, _)| engine)
    .collect()
}

fn decode_engines(gateway: &Gateway, service: &Name) -> Vec<EndpointEntry> {
  let endpoints = gateway.endpoints.borrow();
  endpoints
    .entries()
    .filter(|entry| entry.service == *service && entry.role == Some(Role::Decode))
    .filter(|entry| gateway.check(entry).is_ok())
    .cloned()
    .collect()
}

/// The prompt segments that one engine has cached; empty when the call fails.
async fn list_cached(gateway: &Rc<Gateway>, engine: &EndpointEntry) -> Vec<PromptSegment> {
  let call = gateway.codec.cached_prompts_call();
  let listed = match call_engine(gateway, engine, call, Purpose::Call).await {
    Ok(body) => gateway
      .codec
      .cached_segments(&body)
      .map_err(|error| error.to_string()),
    Err(error) => Err(error.to_string()),
  };
  listed.unwrap_or_else(|error| {
    log::info!("E522 cached prompts not listed: {}: {error}", engine.id);
    Vec::new()
  })
}
