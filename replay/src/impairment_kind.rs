//! The kinds of impairments that a replay plays.

use std::str::FromStr;

/// A kind of planned work or of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ImpairmentKind {
  /// Spare boxes are added.
  AddBoxes,
  /// A box is killed right after a configuration was written.
  KillAfterChange,
  /// Servers lose answers of requests that they ran.
  AnswersLost,
  /// Orders to servers get no answer and are carried out later.
  OrdersLate,
  /// Routes that nobody uses are added.
  BigConfiguration,
  /// Callers send more.
  Burst,
  /// The configuration is changed.
  ConfigurationChange,
  /// The configuration is changed again and again.
  ConfigurationStorm,
  /// Some connections of boxes are reset.
  ConnectionsReset,
  /// Boxes are cut from the other boxes and the store.
  BoxesCut,
  /// Servers break off or spoil answers.
  Garble,
  /// Callers leave early.
  GiveUp,
  /// Exported prompts lapse at once.
  HandlesLapse,
  /// Boxes are killed at once.
  HerdKill,
  /// Boxes read their settings again.
  HangUp,
  /// Moves of memory are slow.
  MovesSlow,
  /// Messages of boxes to each other, and the store's answers to them, are late.
  LateLinks,
  /// The links of a hall to the others are slow.
  Lossy,
  /// Boxes are frozen.
  BoxesFrozen,
  /// Boxes are killed.
  BoxesKilled,
  /// Boxes run slowly.
  BoxesSlow,
  /// Everything outside the boxes stands still.
  Standstill,
  /// The store forgets its history.
  StoreCompacts,
  /// The store is down, for all boxes or for some.
  StoreDown,
  /// The store loses answers.
  StoreLosesAnswers,
  /// The store is slow.
  StoreSlow,
  /// Servers are replaced by ones of the other version.
  Release,
  /// A box is replaced by one at other addresses.
  ReplaceBox,
  /// Callers repeat requests at once.
  RetryAbuse,
  /// Boxes are stopped and started again, one after another.
  RollingStop,
  /// Servers end, and their addresses are given to another service.
  AddressesReused,
  /// Servers are cut from the store.
  ServersCut,
  /// Servers work slowly.
  ServersSlow,
  /// Servers leave.
  ServersLeave,
  /// Servers are added.
  ServersAdded,
  /// Servers crash.
  ServersCrash,
  /// Servers fail requests.
  ServersGrey,
  /// Callers of a hall go to another one.
  Shift,
  /// A hall is cut from the others.
  HallCut,
}

impl FromStr for ImpairmentKind {
  type Err = String;

  fn from_str(kind: &str) -> Result<Self, String> {
    Ok(match kind {
      "add_nodes" => Self::AddBoxes,
      "after_ack_kill" => Self::KillAfterChange,
      "answer_lost" => Self::AnswersLost,
      "applied_late" => Self::OrdersLate,
      "big_config" => Self::BigConfiguration,
      "burst" => Self::Burst,
      "config_change" => Self::ConfigurationChange,
      "config_storm" => Self::ConfigurationStorm,
      "core_cut" | "node_cut" => Self::BoxesCut,
      "garble" => Self::Garble,
      "give_up" => Self::GiveUp,
      "handle_short" => Self::HandlesLapse,
      "herd_kill" => Self::HerdKill,
      "hup" => Self::HangUp,
      "kv_slow" => Self::MovesSlow,
      "late_links" => Self::LateLinks,
      "lossy" => Self::Lossy,
      "node_freeze" => Self::BoxesFrozen,
      "node_kill" => Self::BoxesKilled,
      "node_slow" => Self::BoxesSlow,
      "platform_compact" => Self::StoreCompacts,
      "platform_down" => Self::StoreDown,
      "platform_lost" => Self::StoreLosesAnswers,
      "platform_slow" => Self::StoreSlow,
      "release" => Self::Release,
      "replace_core" => Self::ReplaceBox,
      "replace_with_reuse" => Self::AddressesReused,
      "reset_conns" => Self::ConnectionsReset,
      "retry_abuse" => Self::RetryAbuse,
      "roll_term" => Self::RollingStop,
      "scale_in" => Self::ServersLeave,
      "scale_out" => Self::ServersAdded,
      "srv_crash" => Self::ServersCrash,
      "srv_cut" => Self::ServersCut,
      "srv_grey" => Self::ServersGrey,
      "srv_slow" => Self::ServersSlow,
      "shift" => Self::Shift,
      "standstill" => Self::Standstill,
      "zone_cut" => Self::HallCut,
      _ => return Err(format!("{kind} can't be played")),
    })
  }
}
