//! Throw-away keys for tests: a certificate authority and a certificate per box.

use {
  rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
    KeyUsagePurpose,
  },
  std::{fs, io, path::Path},
};

/// A certificate authority for the certificates of boxes.
pub struct Authority(CertifiedIssuer<'static, KeyPair>);

fn io_error(error: rcgen::Error) -> io::Error {
  io::Error::other(error)
}

impl Authority {
  /// Generates a key and a self-signed certificate.
  pub fn new() -> io::Result<Self> {
    let mut params = CertificateParams::new(Vec::new()).map_err(io_error)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let key = KeyPair::generate().map_err(io_error)?;
    CertifiedIssuer::self_signed(params, key)
      .map(Self)
      .map_err(io_error)
  }

  /// Issues a certificate to the box `name` and writes `authority.pem`, `NAME.pem` and `NAME.key` to `folder`.
  pub fn issue(&self, folder: &Path, name: &str) -> io::Result<()> {
    let mut params = CertificateParams::new(vec![name.to_string()]).map_err(io_error)?;
    params.extended_key_usages = vec![
      ExtendedKeyUsagePurpose::ServerAuth,
      ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate().map_err(io_error)?;
    let certificate = params.signed_by(&key, &self.0).map_err(io_error)?;
    fs::write(folder.join("authority.pem"), self.0.pem())?;
    fs::write(folder.join(format!("{name}.pem")), certificate.pem())?;
    fs::write(folder.join(format!("{name}.key")), key.serialize_pem())
  }
}
