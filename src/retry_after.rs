//! Reads `Retry-After` (RFC 9110, 10.2.3): seconds, of which platforms send fractions too, or a date.

use {
  http::{
    HeaderMap, HeaderValue,
    header::{DATE, RETRY_AFTER},
  },
  std::time::SystemTime,
};

/// Longest part of an unreadable value that is shown.
const SHOWN_CHARACTERS: usize = 40;

/// A value that names no time; holds its beginning.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("Retry-After names no time: {0:?}")]
pub struct BadRetryAfter(String);

/// Milliseconds until the sender wants to be asked again; nothing when it does not say. Of several values the longest counts.
/// Fails when there are values and none of them names a time.
///
/// ```
/// use http::HeaderMap;
/// use rillford::retry_after_ms;
/// let mut headers = HeaderMap::new();
/// assert_eq!(retry_after_ms(&headers), Ok(None));
/// headers.append("retry-after", "1.5".parse().unwrap());
/// headers.append("retry-after", "soon".parse().unwrap());
/// assert_eq!(retry_after_ms(&headers), Ok(Some(1_500)));
/// headers.remove("retry-after");
/// headers.append("retry-after", "-1".parse().unwrap());
/// assert!(retry_after_ms(&headers).is_err());
/// ```
pub fn retry_after_ms(headers: &HeaderMap) -> Result<Option<u64>, BadRetryAfter> {
  let values = headers.get_all(RETRY_AFTER);
  let longest_ms = values
    .iter()
    .filter_map(|value| wait_ms(value, headers))
    .max();
  match (longest_ms, values.iter().next()) {
    (None, Some(value)) => Err(BadRetryAfter(beginning(value))),
    (longest_ms, _) => Ok(longest_ms),
  }
}

fn wait_ms(value: &HeaderValue, headers: &HeaderMap) -> Option<u64> {
  let text = value.to_str().ok()?.trim();
  match text.parse::<f64>() {
    Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => Some((seconds * 1_000.0).ceil() as u64),
    Ok(_) => None,
    Err(_) => wait_until_ms(text, headers),
  }
}

/// The time until a date by the sender's own clock, where it tells that.
fn wait_until_ms(text: &str, headers: &HeaderMap) -> Option<u64> {
  let date = httpdate::parse_http_date(text).ok()?;
  let sent = headers
    .get(DATE)
    .and_then(|value| value.to_str().ok())
    .and_then(|text| httpdate::parse_http_date(text).ok())
    .unwrap_or_else(SystemTime::now);
  let wait = date.duration_since(sent).unwrap_or_default();
  u64::try_from(wait.as_millis()).ok()
}

fn beginning(value: &HeaderValue) -> String {
  String::from_utf8_lossy(value.as_bytes())
    .chars()
    .take(SHOWN_CHARACTERS)
    .collect()
}
