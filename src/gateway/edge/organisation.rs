//! Who asks: the organisations of the configuration, their keys and limits.

use {
  super::{caller_facts::CallerFacts, decode_error::DecodeError, homes::Homes},
  crate::{configuration::KeyTable, ids::Name},
  std::{collections::HashMap, rc::Rc},
};

/// What an organisation's use is counted in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UseUnit {
  /// Each request counts 1.
  Requests,
  /// A request counts the tokens that it names, of prompt and longest answer.
  Tokens {
    /// What a request counts that names none.
    plain: u64,
  },
}

/// What an organisation may use over all boxes: a bucket that is refilled at a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UseLimit {
  /// Units refilled a second.
  pub rate_per_s: f64,
  /// Units that the bucket holds.
  pub burst: f64,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
  /// Its name, as endpoints are told it.
  pub name: Name,
  /// Goes before the route's; 0 is first.
  pub priority: Option<u8>,
  /// The regions in which its requests may be served; nothing where all may.
  pub homes: Option<Homes>,
  /// What its limit is counted in.
  pub unit: UseUnit,
  /// What it may use; nothing when it is not limited.
  pub limit: Option<UseLimit>,
}

impl Organisation {
  /// What a request counts towards the limit.
  ///
  /// ```
  /// use rillford::gateway::{CallerFacts, Organisation, UseUnit};
  /// let organisation = Organisation {
  ///   homes: None,
  ///   limit: None,
  ///   name: "lectures".into(),
  ///   priority: None,
  ///   unit: UseUnit::Tokens { plain: 200 },
  /// };
  /// let stream = CallerFacts { answer_tokens: 72, prompt_tokens: 3_200, ..CallerFacts::default() };
  /// assert_eq!(organisation.units(&stream), 3_272);
  /// assert_eq!(organisation.units(&CallerFacts::default()), 200);
  /// ```
  pub fn units(&self, facts: &CallerFacts) -> u64 {
    let tokens = facts.prompt_tokens + facts.answer_tokens;
    match self.unit {
      UseUnit::Requests => 1,
      UseUnit::Tokens { plain } if tokens == 0 => plain,
      UseUnit::Tokens { .. } => tokens,
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
  /// Adds an organisation with its keys. Fails when a key or its name stands in the document already: whose requests they
  /// are could not be told.
  pub fn add<'a>(
    &mut self,
    organisation: Organisation,
    keys: impl IntoIterator<Item = &'a str>,
  ) -> Result<(), DecodeError> {
    let name = organisation.name.clone();
    for key in keys {
      if !self.keys.insert(key, name.clone()) {
        return Err(refusal(format!("a key of {name} stands twice")));
      }
    }
    match self.by_name.insert(name.clone(), Rc::new(organisation)) {
      None => Ok(()),
      Some(_) => Err(refusal(format!("organisation {name} stands twice"))),
    }
  }

  /// The organisation that holds a key.
  pub fn holder(&self, key: &str) -> Option<&Rc<Organisation>> {
    self.by_name.get(self.keys.organisation(key)?)
  }

  /// All organisations, in no order.
  pub fn iter(&self) -> impl Iterator<Item = &Rc<Organisation>> {
    self.by_name.values()
  }
}

fn refusal(message: String) -> DecodeError {
  DecodeError {
    message,
    what: "the organisations",
  }
}
