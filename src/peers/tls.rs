//! QUIC and TLS configuration from the box's certificate and key and the operators' certificate authority.

use {
  crate::{Error, Result, settings::PeerKeys},
  arc_swap::ArcSwap,
  quinn::{
    ClientConfig, IdleTimeout, ServerConfig, TransportConfig,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
  },
  rustls::{RootCertStore, server::WebPkiClientVerifier},
  rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
  std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, SystemTime},
  },
};

const IDLE_TIMEOUT_MS: u32 = 5_000;
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(1);
const MAX_STREAMS: u32 = 4;

/// The configurations for outgoing and incoming links.
pub(super) struct LinkConfigs {
  pub(super) client: ClientConfig,
  pub(super) server: ServerConfig,
}

/// The configuration for outgoing links; replaced when the key files change.
pub(super) type SharedClientConfig = Arc<ArcSwap<ClientConfig>>;

/// Modification times of the key files; `None` for a file that could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct KeyFileTimes([Option<SystemTime>; 3]);

impl KeyFileTimes {
  pub(super) fn read(keys: &PeerKeys) -> Self {
    let modified = |path: &PathBuf| fs::metadata(path).and_then(|data| data.modified()).ok();
    Self([
      modified(&keys.authority),
      modified(&keys.certificate),
      modified(&keys.key),
    ])
  }
}

fn tls_error(item: &'static str, path: &Path, error: impl ToString) -> Error {
  Error::Tls {
    item,
    message: error.to_string(),
    path: path.into(),
  }
}

fn load_certificates(item: &'static str, path: &Path) -> Result<Vec<CertificateDer<'static>>> {
  let error = |error| tls_error(item, path, error);
  let certificates = CertificateDer::pem_file_iter(path)
    .map_err(error)?
    .collect::<Result<Vec<_>, _>>()
    .map_err(error)?;
  if certificates.is_empty() {
    return Err(tls_error(item, path, "the file contains no certificate"));
  }
  Ok(certificates)
}

/// Loads the files. Both sides of a link must present a certificate of the authority.
pub(super) fn load_configs(keys: &PeerKeys) -> Result<LinkConfigs> {
  let chain = load_certificates("the certificate", &keys.certificate)?;
  let key = || {
    PrivateKeyDer::from_pem_file(&keys.key).map_err(|error| tls_error("the key", &keys.key, error))
  };
  let mut roots = RootCertStore::empty();
  for certificate in load_certificates("the authority", &keys.authority)? {
    roots
      .add(certificate)
      .map_err(|error| tls_error("the authority", &keys.authority, error))?;
  }
  let roots = Arc::new(roots);
  let provider = Arc::new(rustls::crypto::ring::default_provider());
  let error =
    |error: &dyn ToString| tls_error("the certificate", &keys.certificate, error.to_string());
  let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
    .build()
    .map_err(|e| error(&e))?;
  let server = rustls::ServerConfig::builder_with_provider(provider.clone())
    .with_protocol_versions(&[&rustls::version::TLS13])
    .map_err(|e| error(&e))?
    .with_client_cert_verifier(verifier)
    .with_single_cert(chain.clone(), key()?)
    .map_err(|e| error(&e))?;
  let client = rustls::ClientConfig::builder_with_provider(provider)
    .with_protocol_versions(&[&rustls::version::TLS13])
    .map_err(|e| error(&e))?
    .with_root_certificates(roots)
    .with_client_auth_cert(chain, key()?)
    .map_err(|e| error(&e))?;
  let server = QuicServerConfig::try_from(server).map_err(|e| error(&e))?;
  let client = QuicClientConfig::try_from(client).map_err(|e| error(&e))?;
  let transport = Arc::new(transport());
  let mut server = ServerConfig::with_crypto(Arc::new(server));
  server.transport_config(transport.clone());
  let mut client = ClientConfig::new(Arc::new(client));
  client.transport_config(transport);
  Ok(LinkConfigs { client, server })
}

fn transport() -> TransportConfig {
  let mut transport = TransportConfig::default();
  transport.max_concurrent_uni_streams(MAX_STREAMS.into());
  transport.max_concurrent_bidi_streams(0_u32.into());
  transport.max_idle_timeout(Some(IdleTimeout::from(quinn::VarInt::from_u32(
    IDLE_TIMEOUT_MS,
  ))));
  transport.keep_alive_interval(Some(KEEP_ALIVE_PERIOD));
  transport
}
