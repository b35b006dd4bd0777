//! The decisions of a box, free of I/O: selection of endpoints, batch slots and their queue, the queues of prefill engines, the
//! forecast behind early rejections, retries, the bound on held bytes, limits and permits, quarantine of requests that crash
//! endpoints, roles, and which boxes read the
//! store.
//!
//! Imports only `edge`: a decision gets the time, observations and a random number, and returns what to do.

mod advertised_limits;
mod allowed_halls;
mod backoff_jitter;
mod box_list;
mod cached_prompts;
mod choice;
mod cold_endpoints;
mod coordinator_limit;
mod coordinator_order;
mod copy_budget;
mod demand_bands;
mod displacement;
mod drained_halls;
mod endpoint_counts;
mod endpoint_incarnation;
mod endpoint_limits;
mod endpoint_registry;
mod endpoint_state;
mod fingerprint;
mod hall_reachability;
mod held_bytes;
mod joined_boxes;
mod late_reading;
mod limit_strategy;
mod local_permits;
mod local_usage;
mod longest_deadlines;
mod lost_boxes;
mod noise_budget;
mod notice_tracker;
mod organisation_loads;
mod origins;
mod peak_box_count;
mod peer_answers;
mod peer_usage;
mod permit_account;
mod permit_table;
mod prefill_directory;
mod prefill_engine;
mod prefill_group;
mod prefill_offer;
mod prefill_overhead;
mod prefill_place;
mod prefill_queue;
mod prefill_speed;
mod processes;
mod quarantine_key;
mod quarantine_registry;
mod quarantine_strategy;
mod reachability;
mod recent_engines;
mod recent_usage;
mod record_holders;
mod registration_delay;
mod rendezvous;
mod reporter_list;
mod retry_after;
mod retry_lenders;
mod retry_need;
mod retry_window;
mod return_schedule;
mod role_plan;
mod service_version;
mod service_versions;
mod slot_forecast;
mod slot_queue;
mod slot_supply;
mod sound_segments;
mod store_retry_delay;
mod stray_answers;
mod stream_key;
mod stream_records;
mod streams;
mod suspect_queue;
mod suspect_records;
mod token_bucket;
mod unavailable;
mod unframed_answers;
mod unread_time;
mod usage_table;
mod usage_verdict;
mod version_record;
mod version_records;

pub use self::{
  advertised_limits::{AdvertisedLimit, AdvertisedLimits, LimitChange, LimitSource},
  allowed_halls::AllowedHalls,
  backoff_jitter::jittered_backoff_ms,
  box_list::{BoxEntry, BoxList},
  cached_prompts::CachedPrompts,
  choice::{AttemptOutcome, Choice, EndpointCriteria, share_over},
  cold_endpoints::{ColdEndpoints, ColdPeriod},
  coordinator_limit::{ISOLATED_BOXES, coordinator_limit, isolated_limit, unlisted_limit},
  coordinator_order::{coordinator_order, last_known_order},
  copy_budget::CopyBudget,
  demand_bands::{
    BandCounts, BandDemand, BandRequest, DemandBand, DemandBands, DemandReport, RequestedUnits,
    ShareState, ShareVerdict,
  },
  displacement::{Displacement, Misdirected},
  drained_halls::{DrainedHalls, HallDrainChange},
  endpoint_counts::EndpointCounts,
  endpoint_incarnation::EndpointIncarnation,
  endpoint_limits::EndpointLimits,
  endpoint_registry::EndpointRegistry,
  fingerprint::{Fingerprint, RequestIdentity, SegmentIdentity},
  held_bytes::{HeldBytes, HeldKind, ResponseTicket},
  joined_boxes::JoinedBoxes,
  late_reading::LateReading,
  limit_strategy::LimitStrategy,
  local_permits::{LocalPermitVerdict, LocalPermits},
  local_usage::{LocalUsage, LocalVerdict, UsageRequest},
  longest_deadlines::LongestDeadlines,
  lost_boxes::LostBoxes,
  noise_budget::NoiseBudget,
  notice_tracker::{Availability, NoticeChange, NoticeTracker},
  organisation_loads::{OrganisationLoad, OrganisationLoads},
  origins::{
    BegunStream, BucketWriters, ORIGIN_SEND_INTERVAL_MS, ORIGIN_WRITE_INTERVAL_MS, OriginBatch,
    OriginBucket, OriginOutbox, OriginWrite, OriginWriter, StoredOrigins, StoredStream, TakenLease,
  },
  peak_box_count::PeakBoxCount,
  peer_answers::{PeerAnswers, PeerList},
  permit_account::{PermitAccount, PermitRequest, PermitVerdict},
  permit_table::PermitTable,
  prefill_directory::{GroupedEngine, PrefillDirectory},
  prefill_group::{PrefillGroup, prefill_shard, prefill_shard_count},
  prefill_offer::{PrefillOffer, asks_other_halls, best_prefill_offer, extra_transfer_ms},
  prefill_place::{EngineQueue, Place, PlaceId, PlaceOutcome, PlaceRequest, ReportedEngineLoad},
  prefill_queue::PrefillQueue,
  processes::{
    ConnectionState, EndpointProcesses, ObservedProcess, ReportedStart, VIEW_DELAY_MS,
    VersionEvidence,
  },
  quarantine_key::{QuarantineKey, QuarantineMark},
  quarantine_registry::{QuarantineRegistry, QuarantineVerdict},
  quarantine_strategy::QuarantineStrategy,
  reachability::{EndpointGroup, GroupLost, Reachability},
  recent_engines::{RecentEngines, stable_engines},
  record_holders::{RECORD_COPIES, asked_by_all_halls, record_holders, record_sources},
  registration_delay::{registration_delay_ms, renewal_retry_ms},
  retry_after::retry_after_backoff_ms,
  retry_lenders::{LoanAnswer, RetryLenders},
  retry_need::RetryNeed,
  retry_window::{RetryAllowance, RetryUsage, RetryWindow},
  return_schedule::{ReturnSchedule, ReturningCaller},
  role_plan::{RolePlan, plan_roles},
  service_version::ServiceVersion,
  service_versions::ServiceVersions,
  slot_forecast::SlotForecast,
  slot_queue::{QueuePosition, SlotQueue, SlotUrgency},
  slot_supply::SlotSupply,
  sound_segments::SoundSegments,
  store_retry_delay::store_retry_delay_ms,
  stray_answers::StrayAnswers,
  stream_key::StreamKey,
  stream_records::{
    RecordSource, RecordedOrigin, StreamHold, StreamOrigin, StreamRecords, WatchedProcess,
  },
  streams::{
    AnswerEnd, CheckDenial, CheckedEnds, EarlyEnds, EndEvidence, EndVerdict, IdSteps, Numbering,
    StreamIds, VersionIdSteps,
  },
  suspect_queue::SuspectQueue,
  suspect_records::{
    MAX_SUSPECTS_IN_RECORD, SuspectChange, SuspectRecord, SuspectRecordKey, SuspectRecords,
  },
  token_bucket::TokenBucket,
  unavailable::Unavailable,
  unframed_answers::{AnswerKind, UnframedAnswers},
  unread_time::UnreadTime,
  usage_table::{RankedVerdict, ReportScope, UsageTable, UsageTotals},
  usage_verdict::UsageVerdict,
  version_record::{RecordState, VersionRecord},
  version_records::{RecordChange, RecordMaker, VersionRecords},
};

pub(crate) use self::{
  retry_after::{
    RETRY_AFTER_FULL_MS, RETRY_AFTER_LEAVING_MS, RETRY_AFTER_MEMORY_MS,
    RETRY_AFTER_NO_CONFIGURATION_MS, RETRY_AFTER_NO_ENDPOINT_MS, RETRY_AFTER_UNKNOWN_ORIGIN_MS,
  },
  role_plan::with_role,
  stream_records::RETURN_MS,
};
