//! Parses `Retry-After` (RFC 9110, 10.2.3): seconds, also fractional as some platforms send them, or a date.

use {
  http::{
    HeaderMap, HeaderValue,
    header::{DATE, RETRY_AFTER},
  },
  std::time::SystemTime,
};

/// Characters of an invalid value that are shown in the error.
const MAX_SHOWN_CHARACTERS: usize = 40;

/// A value that is neither seconds nor a date; holds its first characters.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("invalid Retry-After: {0:?}")]
pub struct InvalidRetryAfter(String);

/// The delay that the sender asks for, in milliseconds; `None` without the header. Of several values the longest counts.
/// Fails when there are values and none of them is valid.
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
pub fn retry_after_ms(headers: &HeaderMap) -> Result<Option<u64>, InvalidRetryAfter> {
  let values = headers.get_all(RETRY_AFTER);
  let longest_ms = values
    .iter()
    .filter_map(|value| delay_ms(value, headers))
    .max();
  match (longest_ms, values.iter().next()) {
    (None, Some(value)) => Err(InvalidRetryAfter(first_characters(value))),
    (longest_ms, _) => Ok(longest_ms),
  }
}

fn delay_ms(value: &HeaderValue, headers: &HeaderMap) -> Option<u64> {
  let text = value.to_str().ok()?.trim();
  match text.parse::<f64>() {
    Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => Some((seconds * 1_000.0).ceil() as u64),
    Ok(_) => None,
    Err(_) => delay_until_ms(text, headers),
  }
}

/// The delay until a date, relative to the response's `Date` header if it has one.
fn delay_until_ms(text: &str, headers: &HeaderMap) -> Option<u64> {
  let date = httpdate::parse_http_date(text).ok()?;
  let sent = headers
    .get(DATE)
    .and_then(|value| value.to_str().ok())
    .and_then(|text| httpdate::parse_http_date(text).ok())
    .unwrap_or_else(SystemTime::now);
  let delay = date.duration_since(sent).unwrap_or_default();
  u64::try_from(delay.as_millis()).ok()
}

fn first_characters(value: &HeaderValue) -> String {
  String::from_utf8_lossy(value.as_bytes())
    .chars()
    .take(MAX_SHOWN_CHARACTERS)
    .collect()
}
