//! The certificates with which boxes authenticate each other.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use quick_error::quick_error;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

/// The ALPN protocol that both sides of a connection must offer.
const PROTOCOL: &[u8] = b"sedgehill/1";

quick_error! {
    /// Why the identity of a box cannot be used.
    #[derive(Debug)]
    pub enum IdentityError {
        /// A file could not be read as PEM.
        File(path: PathBuf, cause: rustls_pki_types::pem::Error) {
            display("could not read {}: {cause}", path.display())
            source(cause)
        }
        /// The certificate, the key and the authority do not match, or are not accepted by the TLS library.
        Mismatch(cause: String) {
            display("certificate, key and authority do not match: {cause}")
        }
    }
}

/// A box's certificate chain and private key, and the authority that signs the certificates of all boxes.
#[derive(Debug)]
pub struct PeerIdentity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

impl PeerIdentity {
    /// Reads an identity from PEM files.
    pub fn load(
        certificate: &Path,
        key: &Path,
        authority: &Path,
    ) -> Result<PeerIdentity, IdentityError> {
        let chain = read_certificates(certificate)?;
        let mut roots = RootCertStore::empty();
        for root in read_certificates(authority)? {
            roots.add(root).map_err(|error| IdentityError::Mismatch(error.to_string()))?;
        }
        let key_der = PrivateKeyDer::from_pem_file(key)
            .map_err(|error| IdentityError::File(key.to_owned(), error))?;
        Ok(PeerIdentity { chain, key: key_der, roots: Arc::new(roots) })
    }

    /// Builds the TLS configuration for incoming connections, with certificates required of both sides.
    pub(crate) fn server_config(&self) -> Result<QuicServerConfig, IdentityError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()
                .map_err(mismatch)?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(mismatch)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(mismatch)?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        QuicServerConfig::try_from(config).map_err(mismatch)
    }

    /// Builds the TLS configuration for outgoing connections, with certificates required of both sides.
    pub(crate) fn client_config(&self) -> Result<QuicClientConfig, IdentityError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(mismatch)?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(mismatch)?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        QuicClientConfig::try_from(config).map_err(mismatch)
    }
}

fn mismatch(error: impl std::fmt::Display) -> IdentityError {
    IdentityError::Mismatch(error.to_string())
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, IdentityError> {
    let file_error = |error| IdentityError::File(path.to_owned(), error);
    CertificateDer::pem_file_iter(path)
        .map_err(file_error)?
        .collect::<Result<Vec<_>, _>>()
        .map_err(file_error)
}
