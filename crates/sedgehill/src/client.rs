//! The operations of operators, each a call to one box.

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

const READ_LIMIT: Duration = Duration::from_secs(5);
const CHANGE_LIMIT: Duration = Duration::from_secs(10);

/// Calls boxes, the next if one does not answer.
pub struct AdminClient {
    caller: JsonClient,
    boxes: Vec<SocketAddr>,
}

impl AdminClient {
    /// A client of the boxes with these admin addresses.
    pub fn new(boxes: Vec<SocketAddr>) -> AdminClient {
        AdminClient { caller: JsonClient::new(), boxes }
    }

    async fn read<R: DeserializeOwned>(&self, path: &str) -> Result<R, CliError> {
        let mut last = None;
        for address in &self.boxes {
            match self.caller.get(*address, path, READ_LIMIT).await {
                Ok(value) => return Ok(value),
                Err(error) => last = Some(error),
            }
        }
        Err(no_box(last))
    }

    /// Makes a change. A box that may have made it is not followed by another: the change keeps its
    /// id, but a second box could only report on it, not undo it.
    pub async fn change(&self, body: ChangeBody) -> Result<(RecordId, ChangeReply), CliError> {
        let id = RecordId(Uuid::now_v7());
        let request = ChangeRequest { id, body };
        let mut last = None;
        for address in &self.boxes {
            match self.caller.post(*address, "/v1/change", &request, CHANGE_LIMIT).await {
                Ok(reply) => return Ok((id, reply)),
                Err(error) if error.is_not_done() => last = Some(error),
                Err(_) => return Ok((id, ChangeReply::Unknown)),
            }
        }
        Err(no_box(last))
    }

    /// The versions kept under a key.
    pub async fn history(&self, key: &ConfigKey) -> Result<ConfigHistory, CliError> {
        self.read(&format!("/v1/history?key={key}")).await
    }

    /// Every key and its version in force.
    pub async fn configs(&self) -> Result<Vec<ConfigListing>, CliError> {
        self.read("/v1/configs").await
    }

    /// Every job.
    pub async fn jobs(&self) -> Result<Vec<JobListing>, CliError> {
        self.read("/v1/jobs").await
    }

    /// What each box that answers can tell of a job, task or request.
    pub async fn explain(&self, subject: &str) -> Result<Vec<ExplainReport>, CliError> {
        self.read_all(&format!("/v1/explain/{subject}")).await
    }

    /// Each box that answers, at a glance.
    pub async fn statuses(&self) -> Result<Vec<BoxStatus>, CliError> {
        self.read_all("/v1/status").await
    }

    async fn read_all<R: DeserializeOwned>(&self, path: &str) -> Result<Vec<R>, CliError> {
        let mut answers = Vec::new();
        let mut last = None;
        for address in &self.boxes {
            match self.caller.get(*address, path, READ_LIMIT).await {
                Ok(answer) => answers.push(answer),
                Err(error) => last = Some(error),
            }
        }
        if answers.is_empty() { Err(no_box(last)) } else { Ok(answers) }
    }
}

fn no_box(last: Option<CallError>) -> CliError {
    match last {
        Some(error) => CliError::NoBox(error),
        None => CliError::Usage("no box given: use --boxes or set SEDGEHILL_BOXES".to_owned()),
    }
}
