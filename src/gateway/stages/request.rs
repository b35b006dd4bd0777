//! A caller's request, read whole and matched to its route.

use {
  super::{resumption::Resumption, send_mode::SendMode},
  crate::{
    gateway::{
      connections::AddressedRequest,
      decisions::{
        AllowedHalls, Fingerprint, QuarantineKey, RETURN_MS, RequestIdentity, SegmentIdentity,
        StreamKey,
      },
      edge::{
        CallerAttributes, EndpointEntry, Organisation, PlatformCodec, PromptSegment, ProxyHeaders,
        Route, Stage,
      },
      permits::PermitCaller,
      settings::RouteRank,
      state::HeldGuard,
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{HeaderMap, Method, Request, Uri, header::HOST},
  http_body_util::Full,
  std::{
    cell::{Cell, OnceCell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
  },
};

/// Fraction of the longest response for which KV memory is reserved without an estimate by the caller: most responses are
/// shorter, and a stream reaches its length only while others end.
const EXPECTED_RESPONSE_SHARE: f64 = 0.5;
/// Fraction of the caller's estimate for which KV memory is reserved. Reserving less makes engines preempt streams, whose
/// prompts are then prefilled again.
const ESTIMATE_SHARE: f64 = 0.8;
/// Fraction of the longest response that is reserved in addition to an estimate, which may be far too low.
const ESTIMATE_MARGIN_SHARE: f64 = 0.1;

/// Priority of a resumed stream: rejecting it would waste the work done for it.
const HIGHEST_PRIORITY: u8 = 0;

/// Where a request came from.
#[derive(Debug)]
pub(crate) enum RequestOrigin {
  /// From a caller.
  Caller {
    /// The headers as the caller sent them, without hop-by-hop headers.
    headers: HeaderMap,
  },
  /// From a box that can't reach the endpoints; it is forwarded no further.
  Box,
}

/// A caller's request with its route.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
  pub(crate) method: Method,
  pub(crate) uri: Uri,
  /// The caller's headers, without hop-by-hop headers and those that only the gateway may set.
  pub(crate) headers: HeaderMap,
  pub(crate) body: Bytes,
  pub(crate) attributes: CallerAttributes,
  /// The caller's organisation; `None` when callers are not authenticated.
  pub(crate) organisation: Option<Rc<Organisation>>,
  pub(crate) route: Rc<Route>,
  /// The halls within the allowed regions of its route and its organisation.
  pub(crate) allowed_halls: AllowedHalls,
  pub(crate) service: Name,
  /// The version of the configuration that routed it.
  pub(crate) configuration: u64,
  /// Whether its service has prefill and decode engines, by that configuration.
  pub(crate) is_split: bool,
  pub(crate) rank: RouteRank,
  /// When it arrived, on the box's clock.
  pub(crate) arrived_ms: u64,
  /// When its final response is due at the latest.
  pub(crate) deadline_ms: u64,
  /// How long ago its caller was rejected first, as far as its deadline tells; 0 for a new caller.
  pub(crate) refused_for_ms: u64,
  pub(crate) resumption: Resumption,
  pub(crate) send_mode: Cell<SendMode>,
  /// The quarantine probes that this box claimed for the request.
  pub(crate) probes: RefCell<Vec<QuarantineKey>>,
  pub(crate) origin: RequestOrigin,
  /// Stages that were sent, or are being sent, to an endpoint that may receive them.
  pub(crate) sends: Cell<u32>,
  /// Whether an endpoint could not be reached for it.
  pub(crate) met_unreachable: Cell<bool>,
  /// Attempts whose response waits until this box has room for it.
  pub(crate) waits_for_memory: Cell<u32>,
  /// The boxes that were asked to hold its stream.
  pub(crate) asked_holders: Rc<RefCell<BTreeSet<SocketAddr>>>,
  /// Held for the body.
  pub(crate) _held_body: HeldGuard,
  /// Computed on first use.
  pub(crate) fingerprint: OnceCell<Fingerprint>,
  /// Computed on first use.
  pub(crate) segment_fingerprints: OnceCell<Rc<[Fingerprint]>>,
  /// Computed on first use.
  pub(crate) prefill_segment_fingerprints: OnceCell<Rc<[Fingerprint]>>,
}

impl RoutedRequest {
  /// The gateway's headers for one stage, without a reservation or a last event.
  pub(crate) fn proxy_headers(&self, stage: Stage, now_ms: u64) -> ProxyHeaders {
    ProxyHeaders {
      deadline_ms: self.remaining_ms(now_ms),
      last_event_id: None,
      organisation: self
        .organisation
        .as_ref()
        .map(|organisation| organisation.name.clone()),
      stage,
      priority: self.rank.engine_priority,
      reservation: None,
    }
  }

  /// The request as it is sent to an endpoint.
  pub(crate) fn for_endpoint(
    &self,
    codec: &dyn PlatformCodec,
    entry: &EndpointEntry,
    proxy_headers: &ProxyHeaders,
  ) -> AddressedRequest {
    let mut request = Request::new(Full::new(self.body.clone()));
    *request.method_mut() = self.method.clone();
    *request.uri_mut() = self.uri.clone();
    *request.headers_mut() = self.headers.clone();
    codec.add_proxy_headers(request.headers_mut(), proxy_headers);
    AddressedRequest::to_endpoint(codec, entry, request)
  }

  /// Identifies the request and its retries, whatever their ids.
  pub(crate) fn fingerprint(&self) -> Fingerprint {
    *self.fingerprint.get_or_init(|| {
      let host = self.headers.get(HOST).and_then(|host| host.to_str().ok());
      Fingerprint::of(RequestIdentity {
        body: &self.body,
        host: host.unwrap_or_default(),
        method: self.method.as_str(),
        organisation: self
          .organisation
          .as_ref()
          .map(|organisation| &*organisation.name),
        path: self
          .uri
          .path_and_query()
          .map_or(self.uri.path(), |path| path.as_str()),
      })
    })
  }

  /// Identifies the segments of the prompt that other requests may share: all but the last.
  pub(crate) fn segment_fingerprints(&self) -> Rc<[Fingerprint]> {
    let fingerprints = self.segment_fingerprints.get_or_init(|| {
      let segments = &self.attributes.prompt_segments;
      let shared = segments.iter().take(segments.len().saturating_sub(1));
      let organisation = self.organisation.as_ref();
      let of_segment = |segment: &PromptSegment| {
        Fingerprint::of_segment(SegmentIdentity {
          organisation: organisation.map(|organisation| &*organisation.name),
          segment: &segment.id,
          service: &self.service,
        })
      };
      shared.map(of_segment).collect()
    });
    fingerprints.clone()
  }

  /// Identifies the stream that the request begins or resumes.
  pub(crate) fn stream_key(&self) -> StreamKey {
    let attributes = &self.attributes;
    let resumed = attributes
      .resumed_request_id
      .as_deref()
      .filter(|_| attributes.last_event_id.is_some());
    let organisation = self.organisation.as_ref();
    StreamKey::of(
      organisation.map(|organisation| &*organisation.name),
      resumed.unwrap_or(self.id()),
    )
  }

  /// For how long the caller may resume the stream.
  pub(crate) fn resumable_ms(&self, now_ms: u64) -> u64 {
    self.remaining_ms(now_ms) + RETURN_MS
  }

  /// Identifies the separate prefill of this request and of its retries.
  pub(crate) fn prefill_fingerprint(&self) -> Fingerprint {
    self.fingerprint().of_prefill()
  }

  /// Identifies the segments of the prompt in its separate prefill.
  pub(crate) fn prefill_segment_fingerprints(&self) -> Rc<[Fingerprint]> {
    let fingerprints = self.prefill_segment_fingerprints.get_or_init(|| {
      let segments = self.segment_fingerprints();
      segments.iter().map(Fingerprint::of_prefill).collect()
    });
    fingerprints.clone()
  }

  /// The request's id, for logs.
  pub(crate) fn id(&self) -> &str {
    self.attributes.request_id.as_deref().unwrap_or("-")
  }

  /// How the request takes part in the assignment of permits.
  pub(crate) fn permit_caller(&self) -> PermitCaller<'_> {
    let is_resumed = self.attributes.last_event_id.is_some();
    PermitCaller {
      priority: if is_resumed {
        HIGHEST_PRIORITY
      } else {
        self.rank.priority
      },
      request: self.id(),
    }
  }

  /// Time until the deadline.
  pub(crate) fn remaining_ms(&self, now_ms: u64) -> u64 {
    self.deadline_ms.saturating_sub(now_ms)
  }

  /// Time since the deadline; 0 before it.
  pub(crate) fn late_ms(&self, now_ms: u64) -> u64 {
    now_ms.saturating_sub(self.deadline_ms)
  }

  /// Tokens of KV memory that the request is expected to use, for its prompt and its response.
  pub(crate) fn expected_tokens(&self) -> u64 {
    self.attributes.prompt_tokens + self.expected_response_tokens()
  }

  /// Tokens of KV memory that the response is expected to use.
  pub(crate) fn expected_response_tokens(&self) -> u64 {
    let longest = self.attributes.answer_tokens as f64;
    let expected = match self.attributes.answer_estimate {
      Some(estimate) => {
        (estimate as f64).min(longest) * ESTIMATE_SHARE + longest * ESTIMATE_MARGIN_SHARE
      }
      None => longest * EXPECTED_RESPONSE_SHARE,
    };
    expected as u64
  }
}
