//! A box's regular word on use: to a box that counts, or to the others that do.

use {
  super::messages::{UseReport, report, tell_totals},
  crate::gateway::{
    decisions::{ReportScope, UsageTotals},
    state::Gateway,
  },
  futures_util::future::join_all,
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// Pause between a box's messages: what is admitted elsewhere meanwhile may go beyond a limit.
const PAUSE: Duration = Duration::from_millis(150);
/// Every so many turns a box that counts tells all its totals.
const WHOLE_TURNS: u32 = 10;
/// A box with nothing to tell skips so many turns, and still hears often enough not to count as alone.
const IDLE_TURNS: u32 = 3;
/// A box that has not answered for this long is passed over: one that has used up its share of a core answers within 100 ms.
const TELL_LIMIT: Duration = Duration::from_millis(200);

/// Boxes that are told one after the other, until one answers: both of the hall, and one of another hall.
const MOST_TOLD: usize = 3;

/// Tells of use until the process ends; nothing is sent while no organisation is limited.
pub(crate) async fn keep_counts(gateway: Rc<Gateway>) {
  // The first word comes at once: a box that has not heard asks for each request.
  let mut idle_turns = IDLE_TURNS;
  let mut turn = 0_u32;
  loop {
    sleep(PAUSE).await;
    if gateway.use_book.borrow().is_empty() || !gateway.settings.limits.strategy.uses_coordinators()
    {
      continue;
    }
    if gateway.is_counting() {
      let span = match turn % WHOLE_TURNS {
        0 => ReportScope::All,
        _ => ReportScope::Changed,
      };
      turn = turn.wrapping_add(1);
      tell_the_others(&gateway, span).await;
      continue;
    }
    let is_busy = gateway.use_ledger.borrow().is_busy();
    idle_turns = if is_busy { 0 } else { idle_turns + 1 };
    if is_busy || idle_turns >= IDLE_TURNS {
      idle_turns = 0;
      tell_one_that_counts(&gateway).await;
    }
  }
}

/// Sends this box's totals to the others that count.
async fn tell_the_others(gateway: &Gateway, span: ReportScope) {
  let name = gateway.settings.identity.name.clone();
  let (addresses, names) = {
    let boxes = gateway.boxes.borrow();
    (boxes.other_coordinators(&name), boxes.coordinator_names())
  };
  let totals = {
    let mut book = gateway.use_book.borrow_mut();
    book.set_coordinators(|peer| names.iter().any(|name| &**name == peer));
    let now_ms = gateway.now_ms();
    book.set_box_count(gateway.box_count(), now_ms);
    UsageTotals {
      box_name: name,
      reporters: book.reporter_count(now_ms),
      incarnation: gateway.incarnation,
      totals: book.totals_to_report(span),
      uptime_ms: now_ms,
    }
  };
  let totals = &totals;
  let told = addresses.into_iter().map(|address| async move {
    if let Err(error) = tell_totals(&gateway.box_calls, address, totals, TELL_LIMIT).await {
      log::debug!("totals not told to {address}: {error}");
    }
  });
  join_all(told).await;
}

/// Reports to the first box that counts and answers.
async fn tell_one_that_counts(gateway: &Gateway) {
  let untold = gateway.use_ledger.borrow_mut().take_unreported();
  let message = UseReport {
    asks: None,
    box_name: gateway.settings.identity.name.clone(),
    used: untold,
  };
  for address in candidates(gateway).into_iter().take(MOST_TOLD) {
    match report(&gateway.box_calls, address, &message, TELL_LIMIT).await {
      Ok(answer) => {
        let now_ms = gateway.now_ms();
        gateway.counting_box.set(Some(address));
        gateway
          .use_ledger
          .borrow_mut()
          .record_near_limit(answer.short, now_ms);
        return;
      }
      Err(error) => log::debug!("use not told to {address}: {error}"),
    }
  }
  // It may have been counted all the same; counted twice it is on the safe side of the limit.
  let mut ledger = gateway.use_ledger.borrow_mut();
  ledger.restore_unreported(message.used);
  ledger.record_unreachable();
}

/// The boxes that count, the one that answered last before all others.
pub(super) fn candidates(gateway: &Gateway) -> Vec<SocketAddr> {
  let identity = &gateway.settings.identity;
  let boxes = gateway.boxes.borrow();
  let mut addresses = boxes.coordinators_for(&identity.name, &identity.hall);
  if let Some(latest) = gateway.counting_box.get()
    && let Some(at) = addresses.iter().position(|address| *address == latest)
  {
    addresses[..=at].rotate_right(1);
  }
  addresses
}
