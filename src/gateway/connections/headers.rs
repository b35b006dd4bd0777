//! Removes hop-by-hop headers when a message is forwarded (RFC 9110, 7.6.1).

use http::{
  HeaderMap, HeaderName,
  header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
  },
};

/// Headers that are never forwarded; the HTTP library writes its own framing.
const HOP_BY_HOP: [HeaderName; 9] = [
  CONNECTION,
  CONTENT_LENGTH,
  EXPECT,
  PROXY_AUTHENTICATE,
  PROXY_AUTHORIZATION,
  TE,
  TRAILER,
  TRANSFER_ENCODING,
  UPGRADE,
];

/// Removes hop-by-hop headers, including those that `Connection` lists.
///
/// ```
/// use http::HeaderMap;
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", "x-hop".parse().unwrap());
/// headers.insert("x-hop", "1".parse().unwrap());
/// headers.insert("x-kept", "1".parse().unwrap());
/// rillford::gateway::remove_connection_headers(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn remove_connection_headers(headers: &mut HeaderMap) {
  let named: Vec<HeaderName> = headers
    .get_all(CONNECTION)
    .iter()
    .filter_map(|value| value.to_str().ok())
    .flat_map(|value| value.split(','))
    .filter_map(|name| name.trim().parse().ok())
    .collect();
  for name in named.iter().chain(&HOP_BY_HOP) {
    headers.remove(name);
  }
  headers.remove("keep-alive");
  headers.remove("proxy-connection");
}
