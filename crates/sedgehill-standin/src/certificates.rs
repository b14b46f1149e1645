//! Certificates for test clusters.

use std::path::{Path, PathBuf};

use quick_error::quick_error;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

quick_error! {
    /// Error of issuing certificates.
    #[derive(Debug)]
    pub enum CertificateError {
        /// A key or a certificate could not be generated.
        Make(cause: rcgen::Error) {
            from()
            display("cannot generate a certificate")
            source(cause)
        }
        /// A file could not be written.
        Write(cause: std::io::Error) {
            from()
            display("cannot write a certificate file")
            source(cause)
        }
    }
}

/// A certificate authority that signs the certificates of the boxes of one cluster.
pub struct TestAuthority {
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
}

/// Files with the TLS identity of a box.
#[derive(Debug, Clone)]
pub struct IdentityFiles {
    /// The certificate.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
    /// The certificate of the authority.
    pub authority: PathBuf,
}

impl TestAuthority {
    /// Creates an authority with a new key.
    pub fn new() -> Result<TestAuthority, CertificateError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key)?.pem();
        Ok(TestAuthority { certificate, issuer: Issuer::new(params, key) })
    }

    /// Issues a certificate for a box and writes its files into a directory.
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
