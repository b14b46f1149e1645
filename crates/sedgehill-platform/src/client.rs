//! JSON over HTTP with a time limit, and an error that says whether the call may have had effect.

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

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Connections kept to each address while nothing is under way.
const MAX_IDLE: usize = 1;

quick_error! {
    /// Why a call has no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection came about, so the call had no effect.
        NotConnected(address: SocketAddr) {
            display("could not connect to {address}")
        }
        /// The other side said no, so the call had no effect.
        Refused(status: StatusCode, body: String) {
            display("refused with {status}: {body}")
        }
        /// The call was sent and its effect is not known.
        Unknown(cause: String) {
            display("no answer: {cause}")
        }
    }
}

impl CallError {
    /// Whether the call surely had no effect.
    pub fn is_not_done(&self) -> bool {
        !matches!(self, CallError::Unknown(_))
    }
}

/// Makes calls, reusing connections.
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
    /// A caller without connections.
    pub fn new() -> JsonClient {
        JsonClient::fenced(permit_always())
    }

    /// A caller that asks a permit right before each write.
    pub fn fenced(permit: WritePermit) -> JsonClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let client = Client::builder(TokioExecutor::new())
            // A burst of starts would leave many connections to each worker behind.
            .pool_max_idle_per_host(MAX_IDLE)
            .pool_idle_timeout(Duration::from_secs(30))
            // A call that may have been sent is never sent again behind our back.
            .retry_canceled_requests(false)
            .build(FencedConnector::new(connector, permit));
        JsonClient { client }
    }

    /// Sends a request and reads a JSON answer of status 200.
    pub async fn call<A, R>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&A>,
        limit: Duration,
    ) -> Result<R, CallError>
    where
        A: Serialize,
        R: DeserializeOwned,
    {
        let bytes = body.map(|body| serde_json::to_vec(body).expect("our types serialize"));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes.unwrap_or_default())))
            .expect("the parts are valid");
        match tokio::time::timeout(limit, self.exchange(request, address)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Unknown("timed out".to_owned())),
        }
    }

    async fn exchange<R: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        address: SocketAddr,
    ) -> Result<R, CallError> {
        let no_answer = |error: &dyn std::fmt::Display| CallError::Unknown(error.to_string());
        let response =
            self.client.request(request).await.map_err(|error| match error.is_connect() {
                true => CallError::NotConnected(address),
                false => no_answer(&error),
            })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let bytes = body.collect().await.map_err(|error| no_answer(&error))?.to_bytes();
        if status.is_success() {
            return serde_json::from_slice(&bytes).map_err(|error| no_answer(&error));
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        match status.is_client_error() {
            true => Err(CallError::Refused(status, text)),
            false => Err(CallError::Unknown(format!("{status}: {text}"))),
        }
    }

    /// Reads a JSON answer to a GET.
    pub async fn get<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<R, CallError> {
        self.call::<(), R>(Method::GET, address, path, None, limit).await
    }

    /// Reads a JSON answer to a POST.
    pub async fn post<A: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &A,
        limit: Duration,
    ) -> Result<R, CallError> {
        self.call(Method::POST, address, path, Some(body), limit).await
    }
}
