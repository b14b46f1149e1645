//! A client for JSON over HTTP. Each call has a time-out, and its error says whether the call may
//! have been executed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::fence::{FencedConnector, WritePermit, permit_always};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Maximum number of idle connections that are kept open to one address.
const MAX_IDLE_CONNECTIONS: usize = 1;

quick_error! {
    /// Why a call failed, and whether it may have been executed nevertheless.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection could be made, so the call was not executed.
        NotConnected(address: SocketAddr) {
            display("could not connect to {address}")
        }
        /// The server answered with a status of 4xx and did not execute the call.
        Refused(status: StatusCode, body: String) {
            display("refused with {status}: {body}")
        }
        /// The call may have been executed, or may still be: it timed out, its connection broke, or
        /// the response has another status or cannot be decoded.
        Unknown(cause: String) {
            display("no valid answer: {cause}")
        }
    }
}

impl CallError {
    /// Returns whether the call was certainly not executed.
    pub fn is_not_done(&self) -> bool {
        !matches!(self, CallError::Unknown(_))
    }
}

/// An HTTP client that sends and receives JSON and reuses its connections.
#[derive(Debug, Clone)]
pub struct JsonClient {
    client: Client<FencedConnector, Full<Bytes>>,
}

impl Default for JsonClient {
    fn default() -> Self {
        JsonClient::new()
    }
}

impl JsonClient {
    /// Creates a client without a restriction on writes.
    pub fn new() -> JsonClient {
        JsonClient::fenced(permit_always())
    }

    /// Creates a client that checks `permit` immediately before each write to a connection.
    pub fn fenced(permit: WritePermit) -> JsonClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let client = Client::builder(TokioExecutor::new())
            // Without this limit, a burst of starts would leave many idle connections to each
            // worker.
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .pool_idle_timeout(Duration::from_secs(30))
            // The HTTP library must not resend a call that may have been executed already.
            .retry_canceled_requests(false)
            .build(FencedConnector::new(connector, permit));
        JsonClient { client }
    }

    /// Sends a request and decodes the JSON body of its response, which must have a status of 2xx.
    pub async fn call<B, R>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> Result<R, CallError>
    where
        B: Serialize,
        R: DeserializeOwned,
    {
        let bytes = body.map(|body| serde_json::to_vec(body).expect("our types serialize"));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes.unwrap_or_default())))
            .expect("the parts are valid");
        match tokio::time::timeout(timeout, self.exchange(request, address)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Unknown("timed out".to_owned())),
        }
    }

    async fn exchange<R: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        address: SocketAddr,
    ) -> Result<R, CallError> {
        let unknown = |error: &dyn std::fmt::Display| CallError::Unknown(error.to_string());
        let response =
            self.client.request(request).await.map_err(|error| match error.is_connect() {
                true => CallError::NotConnected(address),
                false => unknown(&error),
            })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let bytes = body.collect().await.map_err(|error| unknown(&error))?.to_bytes();
        if status.is_success() {
            // Text that another writer left in an entry need not be valid.
            let text = String::from_utf8_lossy(&bytes);
            return serde_json::from_str(&text).map_err(|error| unknown(&error));
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        match status.is_client_error() {
            true => Err(CallError::Refused(status, text)),
            false => Err(CallError::Unknown(format!("{status}: {text}"))),
        }
    }

    /// Sends a GET request and decodes the JSON body of its response.
    pub async fn get<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<R, CallError> {
        self.call::<(), R>(Method::GET, address, path, None, timeout).await
    }

    /// Sends a POST request with a JSON body and decodes the JSON body of its response.
    pub async fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<R, CallError> {
        self.call(Method::POST, address, path, Some(body), timeout).await
    }
}
