//! Reports to coordinators on what became of places.

use {
  super::{
    coordination::{Coordinator, finish},
    messages::send_reports,
  },
  crate::gateway::{
    decisions::{PlaceOutcome, PrefillGroup},
    state::{Gateway, PlaceReport},
  },
  std::{net::SocketAddr, rc::Rc, time::Duration},
  tokio::{task::spawn_local, time::sleep},
};

/// How long a report waits for others to the same coordinator: much shorter than a prefill, since the coordinator takes the engine
/// for busy until then.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// How long a message may take; places whose reports are lost expire.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Reports in one message.
const MAX_REPORTS: usize = 100;

/// Reports what became of a place; does not wait for the message.
pub(super) fn report(
  gateway: &Rc<Gateway>,
  coordinator: &Coordinator,
  group: &PrefillGroup,
  report: PlaceReport,
) {
  let queues = &gateway.prefill_queues;
  if report.outcome == PlaceOutcome::Unused {
    queues.counters.unused.inc();
  }
  let address = match coordinator {
    Coordinator::Own => return finish(gateway, group, &[report]),
    Coordinator::Other { address, .. } => *address,
  };
  let mut reports = queues.reports.borrow_mut();
  let waiting = reports.entry((address, group.clone())).or_default();
  waiting.push(report);
  if waiting.len() == 1 {
    spawn_local(send_later(gateway.clone(), address, group.clone()));
  }
}

/// Sends the reports to a coordinator that have come together after a short delay.
async fn send_later(gateway: Rc<Gateway>, address: SocketAddr, group: PrefillGroup) {
  sleep(BATCH_DELAY).await;
  let key = (address, group);
  let reports = gateway.prefill_queues.reports.borrow_mut().remove(&key);
  for batch in reports.unwrap_or_default().chunks(MAX_REPORTS) {
    let http = &gateway.box_client;
    let sent = send_reports(http, address, key.1.clone(), batch.to_vec(), REPORT_TIMEOUT).await;
    if let Err(error) = sent {
      log::debug!(
        "{} reports on queue places not sent to {address}: {error}",
        batch.len()
      );
    }
  }
}
