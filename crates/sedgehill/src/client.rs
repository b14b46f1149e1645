//! A client of the admin interface of the boxes.

use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_core::ids::RecordId;
use sedgehill_core::spec::ConfigKey;
use sedgehill_platform::admin::{
    BoxStatus, ChangeBody, ChangeReply, ChangeRequest, ConfigHistory, ConfigListing, ExplainReport,
    JobListing,
};
use sedgehill_platform::client::{CallError, JsonClient};
use serde::de::DeserializeOwned;
use uuid::Uuid;

use crate::error::CliError;

/// Time-out of a read from one box.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time-out of a change at one box. The box itself gives up a change earlier.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of a list of boxes. Most operations use the first box that answers; `explain` and
/// `statuses` ask every box.
pub struct AdminClient {
    client: JsonClient,
    boxes: Vec<SocketAddr>,
}

impl AdminClient {
    /// Creates a client of the boxes with these admin addresses.
    pub fn new(boxes: Vec<SocketAddr>) -> AdminClient {
        AdminClient { client: JsonClient::new(), boxes }
    }

    /// Reads from the first box that answers.
    async fn read<R: DeserializeOwned>(&self, path: &str) -> Result<R, CliError> {
        let mut last_error = None;
        for address in &self.boxes {
            match self.client.get(*address, path, READ_TIMEOUT).await {
                Ok(value) => return Ok(value),
                Err(error) => last_error = Some(error),
            }
        }
        Err(no_box_error(last_error))
    }

    /// Requests a change and returns its id and its outcome. The next box is tried only if the
    /// change was certainly not made. Otherwise the outcome is unknown: another box could only
    /// report on the change, not undo it.
    pub async fn change(&self, body: ChangeBody) -> Result<(RecordId, ChangeReply), CliError> {
        let id = RecordId(Uuid::now_v7());
        let request = ChangeRequest { id, body };
        let mut last_error = None;
        for address in &self.boxes {
            match self.client.post(*address, "/v1/change", &request, CHANGE_TIMEOUT).await {
                Ok(reply) => return Ok((id, reply)),
                Err(error) if error.is_not_done() => last_error = Some(error),
                Err(_) => return Ok((id, ChangeReply::Unknown)),
            }
        }
        Err(no_box_error(last_error))
    }

    /// Returns the kept versions of a key.
    pub async fn history(&self, key: &ConfigKey) -> Result<ConfigHistory, CliError> {
        self.read(&format!("/v1/history?key={key}")).await
    }

    /// Returns every key with its current version.
    pub async fn configs(&self) -> Result<Vec<ConfigListing>, CliError> {
        self.read("/v1/configs").await
    }

    /// Returns the jobs that the answering box knows.
    pub async fn jobs(&self) -> Result<Vec<JobListing>, CliError> {
        self.read("/v1/jobs").await
    }

    /// Returns what each box that answers knows about a job, a task or a request.
    pub async fn explain(&self, subject: &str) -> Result<Vec<ExplainReport>, CliError> {
        self.read_all(&format!("/v1/explain/{subject}")).await
    }

    /// Returns the status of each box that answers.
    pub async fn statuses(&self) -> Result<Vec<BoxStatus>, CliError> {
        self.read_all("/v1/status").await
    }

    /// Reads from every box, and fails only if none answers.
    async fn read_all<R: DeserializeOwned>(&self, path: &str) -> Result<Vec<R>, CliError> {
        let mut answers = Vec::new();
        let mut last_error = None;
        for address in &self.boxes {
            match self.client.get(*address, path, READ_TIMEOUT).await {
                Ok(answer) => answers.push(answer),
                Err(error) => last_error = Some(error),
            }
        }
        if answers.is_empty() { Err(no_box_error(last_error)) } else { Ok(answers) }
    }
}

/// Returns the error for an operation that no box answered. If `last_error` is `None`, the list of
/// boxes is empty.
fn no_box_error(last_error: Option<CallError>) -> CliError {
    match last_error {
        Some(error) => CliError::NoBox(error),
        None => CliError::Usage("no box given: use --boxes or set SEDGEHILL_BOXES".to_owned()),
    }
}
