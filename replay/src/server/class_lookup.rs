//! The kind of a request by its host and path.

use {
  super::super::site::RequestClass,
  std::sync::{Arc, PoisonError, RwLock},
};

/// A route of a kind of request.
type ClassRoute = (Arc<str>, Arc<str>, Arc<RequestClass>);

/// Kinds of requests by host and path prefix, shared by all servers. Later routes may be added.
#[derive(Clone, Debug, Default)]
pub struct ClassLookup(Arc<RwLock<Vec<ClassRoute>>>);

impl ClassLookup {
  /// Adds a route: its host, path prefix and kind of request.
  pub fn add(&self, host: &str, path_prefix: &str, class: Arc<RequestClass>) {
    let mut routes = self.0.write().unwrap_or_else(PoisonError::into_inner);
    routes.push((host.into(), path_prefix.into(), class));
  }

  /// The kind of a request: that of the longest prefix.
  pub fn find(&self, host: &str, path: &str) -> Option<Arc<RequestClass>> {
    let routes = self.0.read().unwrap_or_else(PoisonError::into_inner);
    let found = routes.iter().filter(|(of_host, prefix, _)| {
      of_host.eq_ignore_ascii_case(host) && path.starts_with(prefix.as_ref())
    });
    let (_, _, class) = found.max_by_key(|(_, prefix, _)| prefix.len())?;
    Some(class.clone())
  }
}

impl FromIterator<ClassRoute> for ClassLookup {
  fn from_iter<I: IntoIterator<Item = ClassRoute>>(routes: I) -> Self {
    Self(Arc::new(RwLock::new(routes.into_iter().collect())))
  }
}
