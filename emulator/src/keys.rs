//! Test keys: an authority of our own and a certificate for each box, made afresh each time.

use {
  rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
    KeyUsagePurpose,
  },
  std::{fs, io, path::Path},
};

/// An authority that signs boxes' certificates.
pub struct Authority(CertifiedIssuer<'static, KeyPair>);

fn other(error: rcgen::Error) -> io::Error {
  io::Error::other(error)
}

impl Authority {
  /// Makes an authority.
  pub fn new() -> io::Result<Self> {
    let mut params = CertificateParams::new(Vec::new()).map_err(other)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let key = KeyPair::generate().map_err(other)?;
    CertifiedIssuer::self_signed(params, key)
      .map(Self)
      .map_err(other)
  }

  /// Writes `authority.pem`, `NAME.pem` and `NAME.key` for a box.
  pub fn issue(&self, folder: &Path, name: &str) -> io::Result<()> {
    let mut params = CertificateParams::new(vec![name.to_string()]).map_err(other)?;
    params.extended_key_usages = vec![
      ExtendedKeyUsagePurpose::ServerAuth,
      ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate().map_err(other)?;
    let certificate = params.signed_by(&key, &self.0).map_err(other)?;
    fs::write(folder.join("authority.pem"), self.0.pem())?;
    fs::write(folder.join(format!("{name}.pem")), certificate.pem())?;
    fs::write(folder.join(format!("{name}.key")), key.serialize_pem())
  }
}
