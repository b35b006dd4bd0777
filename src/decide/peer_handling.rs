//! What a box does on messages of its peers.

use {
  super::{Action, Document, EventKind, Heartbeat, Machine, PeerMessage, Sign, SlotResponse, Step},
  crate::ids::Name,
};

impl Machine {
  pub(super) fn peer(&mut self, from: Name, message: PeerMessage) {
    match message {
      PeerMessage::Heartbeat(heartbeat) => self.heartbeat(&from, &heartbeat),
      PeerMessage::SlotRequest(ask) => self.scene.answer_ask(from, ask),
      PeerMessage::SlotResponse(answer) => self.slot_response(from, answer),
      PeerMessage::SlotReturn(attempt, engine) => self.scene.take_back(&attempt, &engine),
      PeerMessage::SlotFreed(engine) => self.scene.reopen(&engine),
      PeerMessage::DocumentsAfter(revision) => {
        let documents = self.scene.configuration.after(revision);
        self.send_documents(from, documents);
      }
      PeerMessage::DocumentsWanted(revisions) => {
        let documents = self.scene.configuration.newer_than(&revisions);
        self.send_documents(from, documents);
      }
      // Documents are checked and compiled before `decide` hears of them.
      PeerMessage::Documents(_) => {}
    }
  }

  fn heartbeat(&mut self, from: &Name, heartbeat: &Heartbeat) {
    let now_ms = self.scene.now_ms;
    let before = self.scene.members.peer(from).map(|peer| peer.leaving);
    let came_alive = self.scene.members.heard(now_ms, from, heartbeat);
    if came_alive || before != Some(heartbeat.leaving) {
      self.scene.forget_homes();
    }
    if came_alive {
      self.scene.note(EventKind::PeerLive, from, "");
    }
    for leaving in &heartbeat.leaving_endpoints {
      let sign = Sign::Leaving(leaving.incarnation);
      if self.scene.fleet.sign(&leaving.endpoint, &sign) {
        self.note_endpoint(&leaving.endpoint);
      }
    }
    for load in &heartbeat.loads {
      if self.scene.fleet.report(now_ms, load) {
        self.note_endpoint(&load.endpoint);
      }
    }
    if heartbeat.configuration_digest != self.scene.configuration.digest() {
      self.ask_for_documents(from, heartbeat.latest_revision);
    }
  }

  fn send_documents(&mut self, to: Name, documents: Vec<Document>) {
    if !documents.is_empty() {
      let message = PeerMessage::Documents(documents);
      self.scene.act(Action::Send(to, message));
    }
  }

  /// Who has fallen behind asks for what came after; who is level and yet different has missed one.
  fn ask_for_documents(&mut self, from: &Name, latest_revision: u64) {
    let own = &self.scene.configuration;
    let message = if latest_revision > own.latest_revision() {
      PeerMessage::DocumentsAfter(own.latest_revision())
    } else {
      PeerMessage::DocumentsWanted(own.revisions())
    };
    // Who is ahead is asked by the other side.
    if latest_revision >= own.latest_revision() {
      self.scene.act(Action::Send(from.clone(), message));
    }
  }

  fn slot_response(&mut self, from: Name, answer: SlotResponse) {
    if !self.is_asking(&answer.attempt) {
      if answer.granted {
        // Granted too late: nobody waits for it any more.
        let message = PeerMessage::SlotReturn(answer.attempt, answer.engine);
        self.scene.act(Action::Send(from, message));
      }
      return;
    }
    let step = Step::Slot {
      attempt: answer.attempt.clone(),
      granted: answer.granted,
      link_wait_ms: answer.link_wait_ms,
    };
    self.step(answer.attempt.request(), &step);
  }
}
