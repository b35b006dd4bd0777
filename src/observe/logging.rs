//! Log output as text or JSON.

use {
  crate::{
    Error, Result,
    settings::{LogFormat, LogSettings},
  },
  fern::Dispatch,
  log::LevelFilter,
  serde_json::json,
  std::io,
};

/// Sets up logging to standard error.
pub(crate) fn set_up_logging(settings: &LogSettings) -> Result {
  let level = settings
    .level
    .as_deref()
    .and_then(|level| level.parse().ok())
    .unwrap_or(LevelFilter::Info);
  let format = settings.format;
  Dispatch::new()
    .level(LevelFilter::Warn)
    .level_for("rillford", level)
    .format(move |out, message, record| {
      let time_ms = super::hybrid_clock::unix_ms();
      match format {
        LogFormat::Text => out.finish(format_args!("{time_ms} {} {message}", record.level())),
        LogFormat::Json => {
          let line = json!({
            "level": record.level().as_str(),
            "message": message.to_string(),
            "time_ms": time_ms,
          });
          out.finish(format_args!("{line}"));
        }
      }
    })
    .chain(io::stderr())
    .apply()
    .map_err(|error| Error::Log(error.to_string()))
}
