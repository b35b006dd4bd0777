//! Settings: a TOML file, validated in full; each error has a file, line and key.

mod document;
mod settings_error;
mod types;

pub use self::{
  settings_error::SettingsError,
  types::{
    Administration, BoxSettings, EndpointKindValue, EndpointSettings, Limits, Listen, LogFormat,
    LogSettings, Metrics, PeerKeys, Platform, Settings, Targets,
  },
};
