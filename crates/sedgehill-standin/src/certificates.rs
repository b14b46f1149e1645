//! Certificates for test clusters.

use std::path::{Path, PathBuf};

use quick_error::quick_error;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

quick_error! {
    /// Why certificates could not be made.
    #[derive(Debug)]
    pub enum CertificateError {
        /// The library refused.
        Make(cause: rcgen::Error) {
            from()
            display("could not make a certificate")
            source(cause)
        }
        /// A file could not be written.
        Write(cause: std::io::Error) {
            from()
            display("could not write a certificate")
            source(cause)
        }
    }
}

/// An authority that signs the certificates of the boxes of one cluster.
pub struct TestAuthority {
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
}

/// The files of one box's identity.
#[derive(Debug, Clone)]
pub struct IdentityFiles {
    /// The certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// The authority.
    pub authority: PathBuf,
}

impl TestAuthority {
    /// A new authority.
    pub fn new() -> Result<TestAuthority, CertificateError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key)?.pem();
        Ok(TestAuthority { certificate, issuer: Issuer::new(params, key) })
    }

    /// Writes the identity of a box into a directory.
    pub fn issue(&self, name: &str, directory: &Path) -> Result<IdentityFiles, CertificateError> {
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec![name.to_owned()])?;
        let certificate = params.signed_by(&key, &self.issuer)?.pem();
        let files = IdentityFiles {
            certificate: directory.join(format!("{name}.pem")),
            key: directory.join(format!("{name}.key")),
            authority: directory.join("authority.pem"),
        };
        std::fs::write(&files.certificate, certificate)?;
        std::fs::write(&files.key, key.serialize_pem())?;
        std::fs::write(&files.authority, &self.certificate)?;
        Ok(files)
    }
}
