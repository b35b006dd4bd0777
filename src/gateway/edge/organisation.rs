//! The organisations of the configuration, their API keys and limits.

use {
  super::{caller_attributes::CallerAttributes, decode_error::DecodeError, region_set::RegionSet},
  crate::{configuration::KeyTable, ids::Name},
  std::{
    collections::HashMap,
    fmt::{self, Debug, Formatter},
    rc::Rc,
  },
};

/// The unit in which an organisation's usage is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UsageUnit {
  /// Each request counts 1.
  Requests,
  /// Each request counts the tokens that its headers state, of the prompt and of the longest response.
  Tokens {
    /// What a request counts that states none.
    default: u64,
  },
}

/// The limit of an organisation's usage over all boxes: a token bucket.
#[derive(Clone, Copy, PartialEq)]
pub struct UsageLimit {
  /// Units refilled per second.
  pub rate_per_s: f64,
  /// Capacity of the bucket, in units.
  pub burst: f64,
}

/// Prints the name that operators know from the log.
impl Debug for UsageLimit {
  fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
    formatter
      .debug_struct("UseLimit")
      .field("rate_per_s", &self.rate_per_s)
      .field("burst", &self.burst)
      .finish()
  }
}

/// One organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
  /// Its name, as endpoints receive it.
  pub name: Name,
  /// Overrides the route's priority; 0 is the most urgent.
  pub priority: Option<u8>,
  /// The regions in which its requests may be served; `None` allows all of them.
  pub allowed_regions: Option<RegionSet>,
  /// The unit of its limit.
  pub unit: UsageUnit,
  /// Its limit; `None` when unlimited.
  pub limit: Option<UsageLimit>,
}

impl Organisation {
  /// Units that a request counts towards the limit.
  ///
  /// ```
  /// use rillford::gateway::{CallerAttributes, Organisation, UsageUnit};
  /// let organisation = Organisation {
  ///   allowed_regions: None,
  ///   limit: None,
  ///   name: "lectures".into(),
  ///   priority: None,
  ///   unit: UsageUnit::Tokens { default: 200 },
  /// };
  /// let stream = CallerAttributes { answer_tokens: 72, prompt_tokens: 3_200, ..CallerAttributes::default() };
  /// assert_eq!(organisation.units(&stream), 3_272);
  /// assert_eq!(organisation.units(&CallerAttributes::default()), 200);
  /// ```
  pub fn units(&self, attributes: &CallerAttributes) -> u64 {
    let tokens = attributes.prompt_tokens + attributes.answer_tokens;
    match self.unit {
      UsageUnit::Requests => 1,
      UsageUnit::Tokens { default } if tokens == 0 => default,
      UsageUnit::Tokens { .. } => tokens,
    }
  }
}

/// The organisations of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Organisations {
  keys: KeyTable,
  by_name: HashMap<Name, Rc<Organisation>>,
}

impl Organisations {
  /// Adds an organisation with its keys. Fails when its name or one of the keys is already taken: the owner of a request would
  /// be ambiguous.
  pub fn add<'a>(
    &mut self,
    organisation: Organisation,
    keys: impl IntoIterator<Item = &'a str>,
  ) -> Result<(), DecodeError> {
    let name = organisation.name.clone();
    for key in keys {
      if !self.keys.insert(key, name.clone()) {
        return Err(invalid(format!("a key of {name} is listed twice")));
      }
    }
    match self.by_name.insert(name.clone(), Rc::new(organisation)) {
      None => Ok(()),
      Some(_) => Err(invalid(format!("organisation {name} is listed twice"))),
    }
  }

  /// The organisation that holds a key.
  pub fn holder(&self, key: &str) -> Option<&Rc<Organisation>> {
    self.by_name.get(self.keys.organisation(key)?)
  }

  /// All organisations, in no particular order.
  pub fn iter(&self) -> impl Iterator<Item = &Rc<Organisation>> {
    self.by_name.values()
  }
}

fn invalid(message: String) -> DecodeError {
  DecodeError {
    message,
    what: "the organisations",
  }
}
