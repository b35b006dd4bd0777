//! Handles messages of peers.

use {
  super::{
    Action, Document, EndpointEvent, EventKind, Heartbeat, Machine, PeerMessage, RequestEvent,
    SlotResponse,
  },
  crate::ids::Name,
};

impl Machine {
  pub(super) fn handle_peer_message(&mut self, from: Name, message: PeerMessage) {
    match message {
      PeerMessage::Heartbeat(heartbeat) => self.handle_heartbeat(&from, &heartbeat),
      PeerMessage::SlotRequest(request) => self.context.handle_slot_request(from, request),
      PeerMessage::SlotResponse(response) => self.handle_slot_response(from, response),
      PeerMessage::SlotReturn(attempt, engine) => {
        self.context.release_granted_slot(&attempt, &engine)
      }
      PeerMessage::SlotFreed(engine) => self.context.mark_available(&engine),
      PeerMessage::DocumentsAfter(revision) => {
        let documents = self.context.configuration.after(revision);
        self.send_documents(from, documents);
      }
      PeerMessage::DocumentsWanted(revisions) => {
        let documents = self.context.configuration.newer_than(&revisions);
        self.send_documents(from, documents);
      }
      // Documents are checked and compiled outside of `decide` and arrive as `Event::Configured`.
      PeerMessage::Documents(_) => {}
    }
  }

  fn handle_heartbeat(&mut self, from: &Name, heartbeat: &Heartbeat) {
    let now_ms = self.context.now_ms;
    let before = self.context.members.peer(from).map(|peer| peer.leaving);
    let became_live = self
      .context
      .members
      .record_heartbeat(now_ms, from, heartbeat);
    if became_live || before != Some(heartbeat.leaving) {
      self.context.clear_owners();
    }
    if became_live {
      self.context.record(EventKind::PeerLive, from, "");
    }
    for leaving in &heartbeat.leaving_endpoints {
      let event = EndpointEvent::Leaving(leaving.incarnation);
      if self.context.fleet.apply_event(&leaving.endpoint, &event) {
        self.record_endpoint_state(&leaving.endpoint);
      }
    }
    for load in &heartbeat.loads {
      if self.context.fleet.apply_report(now_ms, load) {
        self.record_endpoint_state(&load.endpoint);
      }
    }
    if heartbeat.configuration_digest != self.context.configuration.digest() {
      self.request_documents(from, heartbeat.latest_revision);
    }
  }

  fn send_documents(&mut self, to: Name, documents: Vec<Document>) {
    if !documents.is_empty() {
      let message = PeerMessage::Documents(documents);
      self.context.emit(Action::Send(to, message));
    }
  }

  /// Requests documents from a peer whose digest differs: all after this box's latest revision if the peer is ahead, or
  /// the difference by revisions if both have the same latest revision. A peer that is behind asks for itself.
  fn request_documents(&mut self, from: &Name, latest_revision: u64) {
    let own = &self.context.configuration;
    let message = if latest_revision > own.latest_revision() {
      PeerMessage::DocumentsAfter(own.latest_revision())
    } else {
      PeerMessage::DocumentsWanted(own.revisions())
    };
    if latest_revision >= own.latest_revision() {
      self.context.emit(Action::Send(from.clone(), message));
    }
  }

  fn handle_slot_response(&mut self, from: Name, response: SlotResponse) {
    if !self.is_requesting_slot(&response.attempt) {
      if response.granted {
        // The request does not wait for it any more.
        let message = PeerMessage::SlotReturn(response.attempt, response.engine);
        self.context.emit(Action::Send(from, message));
      }
      return;
    }
    let event = RequestEvent::Slot {
      attempt: response.attempt.clone(),
      granted: response.granted,
      link_wait_ms: response.link_wait_ms,
    };
    self.advance_request(response.attempt.request(), &event);
  }
}
