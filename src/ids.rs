//! Identifiers that are sent between processes.

use {
  serde::{Deserialize, Deserializer, Serialize, Serializer, de},
  std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    sync::Arc,
  },
};

/// A shared immutable string: the name of a box, hall, endpoint, model or organisation.
pub type Name = Arc<str>;

/// A request's number, unique within one incarnation of one box.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// An attempt at a request: `box/incarnation/sequence/attempt`.
///
/// ```
/// use rillford::ids::AttemptId;
/// let id: AttemptId = "north-1/17/4/2".parse().unwrap();
/// assert_eq!(id.attempt, 2);
/// assert_eq!(id.to_string(), "north-1/17/4/2");
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
  /// The box that sent the command.
  pub box_name: Name,
  /// The start time of the box, in milliseconds since the Unix epoch; higher is later.
  pub incarnation: u64,
  /// The request's number within the incarnation.
  pub sequence: u64,
  /// The number of the attempt within the request, from 1.
  pub attempt: u32,
}

impl AttemptId {
  /// The request that this attempt belongs to.
  ///
  /// ```
  /// use rillford::ids::{AttemptId, RequestId};
  /// let id: AttemptId = "north-1/17/4/2".parse().unwrap();
  /// assert_eq!(id.request(), RequestId(4));
  /// ```
  pub fn request(&self) -> RequestId {
    RequestId(self.sequence)
  }
}

impl Display for AttemptId {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(
      f,
      "{}/{}/{}/{}",
      self.box_name, self.incarnation, self.sequence, self.attempt
    )
  }
}

/// The text is not of the form `box/incarnation/sequence/attempt`.
#[derive(Debug, thiserror::Error)]
#[error("`{0}` is not an attempt id (box/incarnation/sequence/attempt)")]
pub struct AttemptIdError(String);

impl FromStr for AttemptId {
  type Err = AttemptIdError;

  fn from_str(text: &str) -> Result<Self, AttemptIdError> {
    let error = || AttemptIdError(text.into());
    let mut parts = text.rsplitn(4, '/');
    let attempt = parts.next().and_then(|part| part.parse().ok());
    let sequence = parts.next().and_then(|part| part.parse().ok());
    let incarnation = parts.next().and_then(|part| part.parse().ok());
    let box_name = parts.next().filter(|part| !part.is_empty());
    Ok(Self {
      attempt: attempt.ok_or_else(error)?,
      box_name: box_name.ok_or_else(error)?.into(),
      incarnation: incarnation.ok_or_else(error)?,
      sequence: sequence.ok_or_else(error)?,
    })
  }
}

impl Serialize for AttemptId {
  fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(self)
  }
}

impl<'de> Deserialize<'de> for AttemptId {
  fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
    String::deserialize(deserializer)?
      .parse()
      .map_err(de::Error::custom)
  }
}
