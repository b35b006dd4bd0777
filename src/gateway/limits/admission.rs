//! Whether a request is within its organisation's limit, and its charge.

use {
  super::{
    messages::{UseReport, report},
    telling::candidates,
  },
  crate::{
    gateway::{
      decisions::{LocalVerdict, UsageRequest, UsageVerdict},
      edge::{CallerAttributes, Organisation, UsageLimit},
      state::Gateway,
    },
    ids::Name,
  },
  std::{rc::Rc, time::Duration},
};

/// How long a box that counts is asked. In a hall it answers within milliseconds, and within 100 ms when it has used up its
/// share of a core; requests are wanted within some hundred.
const ASK_LIMIT: Duration = Duration::from_millis(120);
/// Boxes that are asked one after the other.
const MOST_ASKED: usize = 2;
/// The shortest time until a caller beyond the limit comes back: the counts are that old.
const LEAST_WAIT_MS: u64 = 300;

/// A request is beyond its organisation's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Beyond {
  /// When it may come back.
  pub(crate) retry_after_ms: u64,
}

/// Who counted a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CountedBy {
  /// Nobody: its organisation is not limited.
  Nobody,
  /// This box, which counts.
  Book,
  /// This box's ledger, or the box that it asked.
  Ledger,
}

/// What a request was charged to its organisation.
pub(crate) struct Charge {
  gateway: Rc<Gateway>,
  organisation: Name,
  units: u64,
  counted_by: CountedBy,
}

impl Charge {
  /// The request has not run: what it was charged is there for others, and for its own second try.
  pub(crate) fn give_back(self) {
    let now_ms = self.gateway.now_ms();
    let units = -(self.units as i64);
    match self.counted_by {
      CountedBy::Nobody => {}
      CountedBy::Book => {
        let mut book = self.gateway.use_book.borrow_mut();
        book.charge(&self.organisation, units, now_ms);
      }
      CountedBy::Ledger => {
        let mut ledger = self.gateway.use_ledger.borrow_mut();
        ledger.record(&self.organisation, units, now_ms);
      }
    }
  }
}

/// Admits a request of an organisation if it is within the limit over all boxes.
pub(crate) async fn admit(
  gateway: &Rc<Gateway>,
  organisation: &Organisation,
  facts: &CallerAttributes,
) -> Result<Charge, Beyond> {
  let units = organisation.units(facts);
  let name = &organisation.name;
  let charge = |counted_by| Charge {
    counted_by,
    gateway: gateway.clone(),
    organisation: name.clone(),
    units,
  };
  let Some(limit) = gateway.use_book.borrow().limit(name) else {
    return Ok(charge(CountedBy::Nobody));
  };
  let (verdict, counted_by) = if gateway.counts_use() {
    let now_ms = gateway.now_ms();
    let verdict = gateway.use_book.borrow_mut().admit(name, units, now_ms);
    (verdict, CountedBy::Book)
  } else {
    let verdict = admit_by_ledger(gateway, name, limit, units).await;
    (verdict, CountedBy::Ledger)
  };
  match verdict {
    UsageVerdict::WithinLimit => Ok(charge(counted_by)),
    UsageVerdict::OverLimit {
      remaining: left,
      wait_ms,
    } => {
      gateway.counters.beyond_limit.inc();
      log_beyond(gateway, facts, name, units, left);
      // Those who are refused together don't come back together.
      let spread_ms = wait_ms.max(LEAST_WAIT_MS) as f64 * (1.0 + gateway.draw());
      Err(Beyond {
        retry_after_ms: spread_ms as u64,
      })
    }
  }
}

/// Decides by what this box heard, or asks a box that counts.
async fn admit_by_ledger(
  gateway: &Gateway,
  name: &Name,
  limit: UsageLimit,
  units: u64,
) -> UsageVerdict {
  let request = || UsageRequest {
    boxes: gateway.box_count(),
    limit,
    now_ms: gateway.now_ms(),
    organisation: name,
    units,
  };
  let way = gateway.settings.limits.strategy;
  let local = gateway.use_ledger.borrow_mut().admit(request(), way);
  match local {
    LocalVerdict::Settled(verdict) => verdict,
    LocalVerdict::Ask => match ask(gateway, name, units).await {
      Some(verdict) => verdict,
      None => gateway.use_ledger.borrow_mut().admit_isolated(request()),
    },
  }
}

/// Asks the boxes that count; nothing when none answers in time.
async fn ask(gateway: &Gateway, name: &Name, units: u64) -> Option<UsageVerdict> {
  for address in candidates(gateway).into_iter().take(MOST_ASKED) {
    let used = gateway.use_ledger.borrow_mut().take_unreported();
    let message = UseReport {
      asks: Some((name.clone(), units)),
      box_name: gateway.settings.identity.name.clone(),
      used,
    };
    match report(&gateway.box_calls, address, &message, ASK_LIMIT).await {
      Ok(answer) => {
        gateway.counting_box.set(Some(address));
        let now_ms = gateway.now_ms();
        let mut ledger = gateway.use_ledger.borrow_mut();
        ledger.record_near_limit(answer.short, now_ms);
        match answer.verdict {
          Some(UsageVerdict::WithinLimit) => ledger.record_admitted(name, units, now_ms),
          Some(UsageVerdict::OverLimit {
            remaining: left,
            wait_ms,
          }) => {
            ledger.record_rejected(name, left, wait_ms, now_ms);
          }
          None => {}
        }
        return answer.verdict;
      }
      Err(error) => {
        log::info!("E610 not asked: {address} on {name}: {error}");
        gateway
          .use_ledger
          .borrow_mut()
          .restore_unreported(message.used);
      }
    }
  }
  gateway.use_ledger.borrow_mut().record_unreachable();
  None
}

/// Says on what a refusal was decided.
fn log_beyond(gateway: &Gateway, facts: &CallerAttributes, name: &Name, units: u64, left: f64) {
  let version = gateway.table().map(|table| table.version());
  let limit = gateway.use_book.borrow().limit(name);
  let age_ms = if gateway.counts_use() {
    Some(0)
  } else {
    gateway.use_ledger.borrow().age_ms(gateway.now_ms())
  };
  log::info!(
    "E608 beyond the limit: {} of {name} asks {units} units, {left:.0} left of {limit:?} in configuration {version:?}, heard {age_ms:?} ms ago",
    facts.request_id.as_deref().unwrap_or("-")
  );
}
