//! Handles the requests of other threads: operators' changes and reads, and the claims of traffic threads.

use sedgehill_core::ids::{HallName, IdempotencyKey, OrgName, RecordId};
use sedgehill_core::job::JobRequest;
use sedgehill_core::record::RecordBody;
use sedgehill_core::state::RecordVerdict;
use sedgehill_core::units::{Moment, TimeSpan};
use sedgehill_platform::admin::{ChangeBody, ChangeReply, ChangeRequest};
use tokio::sync::{mpsc, oneshot};

use super::log_writer::LogWriter;
use super::{ClaimReply, ControlContext, ControlRequest, ControlState, refresh};
use crate::clock;

/// Maximum time that a change waits for its verdict from the log.
const CHANGE_TIMEOUT: TimeSpan = TimeSpan(5_000);
/// Maximum time that a once-only request waits for the claim of its key.
const CLAIM_TIMEOUT: TimeSpan = TimeSpan(2_000);

/// Handles requests until the process ends.
pub async fn run(context: ControlContext, mut requests: mpsc::Receiver<ControlRequest>) {
    while let Some(request) = requests.recv().await {
        match request {
            ControlRequest::Read(read) => read(&context.state.borrow()),
            ControlRequest::Change { change, reply } => start_change(&context, change, reply),
            ControlRequest::ClaimKey { organisation, key, deadline, reply } => {
                start_claim(&context, organisation, key, deadline, reply);
            }
            ControlRequest::RefreshView { since, reply } => {
                let context = context.clone();
                tokio::task::spawn_local(async move {
                    // An error means that the caller has closed its connection.
                    let _ = reply.send(refresh::refresh_state(&context, since).await);
                });
            }
            ControlRequest::FindClaim { organisation, key, since, reply } => {
                let context = context.clone();
                tokio::task::spawn_local(async move {
                    let status = refresh::find_claim(&context, &organisation, key, since).await;
                    // An error means that the caller has closed its connection.
                    let _ = reply.send(status);
                });
            }
            ControlRequest::ReleaseKey { organisation, key, claim } => {
                release_key(&context, organisation, key, claim);
            }
        }
    }
}

fn release_key(
    context: &ControlContext,
    organisation: OrgName,
    key: IdempotencyKey,
    claim: RecordId,
) {
    let body = RecordBody::ReleaseKey { organisation, key, claim };
    context.state.borrow_mut().writer.submit_unattended(body, clock::now());
    context.writer_notify.notify_one();
}

fn start_claim(
    context: &ControlContext,
    organisation: OrgName,
    key: IdempotencyKey,
    deadline: Moment,
    reply: oneshot::Sender<ClaimReply>,
) {
    let now = clock::now();
    let expires_at = deadline.min(now.after(CLAIM_TIMEOUT));
    let id = LogWriter::new_id();
    let body = RecordBody::ClaimKey { organisation: organisation.clone(), key };
    let verdict = context.state.borrow_mut().writer.submit(id, body, expires_at);
    context.writer_notify.notify_one();
    let context = context.clone();
    tokio::task::spawn_local(async move {
        let answer = match wait_for_verdict(verdict, expires_at).await {
            Some(RecordVerdict::Accepted { .. }) => ClaimReply::Granted(id),
            Some(RecordVerdict::Void { reason }) => ClaimReply::Void(reason),
            Some(RecordVerdict::Conflict { .. }) | None => ClaimReply::NotRecorded,
        };
        let may_take_effect =
            answer == ClaimReply::NotRecorded && context.state.borrow_mut().writer.withdraw(&id);
        let unreceived = reply.send(answer).is_err();
        // The request does not run, so a claim that may take effect is released: a retry with this key may run.
        if may_take_effect || (unreceived && answer == ClaimReply::Granted(id)) {
            release_key(&context, organisation, key, id);
        }
    });
}

/// Returns the verdict on a record, or `None` if it was not read from the log in time.
async fn wait_for_verdict(
    verdict: oneshot::Receiver<RecordVerdict>,
    expires_at: Moment,
) -> Option<RecordVerdict> {
    let remaining = expires_at.since(clock::now());
    let timeout = std::time::Duration::from_millis(remaining.as_millis());
    tokio::time::timeout(timeout, verdict).await.ok()?.ok()
}

fn start_change(
    context: &ControlContext,
    change: ChangeRequest,
    reply: oneshot::Sender<ChangeReply>,
) {
    let body = match change_record(&context.state.borrow(), change.body) {
        Ok(body) => body,
        Err(reason) => {
            let _ = reply.send(ChangeReply::NotTaken { reason });
            return;
        }
    };
    let expires_at = clock::now().after(CHANGE_TIMEOUT);
    let verdict = context.state.borrow_mut().writer.submit(change.id, body, expires_at);
    context.writer_notify.notify_one();
    let context = context.clone();
    tokio::task::spawn_local(async move {
        let answer = match wait_for_verdict(verdict, expires_at).await {
            Some(verdict) => ChangeReply::Settled { verdict },
            None => match context.state.borrow_mut().writer.withdraw(&change.id) {
                true => ChangeReply::Unknown,
                false => ChangeReply::NotTaken { reason: "the log does not answer".to_owned() },
            },
        };
        let _ = reply.send(answer);
    });
}

/// Converts a change to a log record. The error message is for the operator.
fn change_record(state: &ControlState, change: ChangeBody) -> Result<RecordBody, String> {
    let cluster = state.cluster().ok_or("the box has no state yet")?;
    Ok(match change {
        ChangeBody::Publish { base, spec } => {
            if let sedgehill_core::spec::ConfigSpec::Parameters(parameters) = &spec
                && cluster.template(&parameters.template).is_none()
            {
                return Err(format!("there is no template `{}`", parameters.template));
            }
            RecordBody::Publish { base, spec }
        }
        ChangeBody::Submit { request, hall } => {
            let hall = hall.map_or_else(|| choose_hall(state, &request), Ok)?;
            if let Err(reason) = cluster.check_job(&request, &hall) {
                return Err(format!("the job cannot be taken: {}", void_text(reason)));
            }
            RecordBody::Submit { request, hall }
        }
        ChangeBody::Cancel { job } => RecordBody::Cancel { job },
        ChangeBody::Drain { target, drain } => RecordBody::DrainBox { target, drain },
    })
}

/// Returns the name under which a reason is serialized.
fn void_text(reason: sedgehill_core::state::VoidReason) -> String {
    let reason_text = serde_json::to_value(reason).expect("our types serialize");
    reason_text.as_str().unwrap_or_default().to_owned()
}

/// Chooses the allowed hall with the most free capacity for the tasks of a job. The leads of halls report the capacity
/// in heartbeats, so it may be outdated. If no lead of an allowed hall has reported, chooses the first allowed hall
/// that has workers.
fn choose_hall(state: &ControlState, request: &JobRequest) -> Result<HallName, String> {
    let cluster = state.cluster().ok_or("the box has no state yet")?;
    let parameters =
        cluster.parameters(&request.organisation, &request.template).ok_or_else(|| {
            format!(
                "organisation `{}` has no parameters for `{}`",
                request.organisation, request.template
            )
        })?;
    let now = clock::now();
    let own = state.placers.iter().map(|(hall, placer)| (hall.clone(), placer.capacity().1));
    let peers = state.members.heartbeats(now).flat_map(|heartbeat| {
        heartbeat.capacities.iter().map(|capacity| (capacity.hall.clone(), capacity.free))
    });
    let shape = cluster.task_shape(request).map_err(void_text)?;
    own.chain(peers)
        .filter(|(hall, _)| parameters.allows(hall))
        .map(|(hall, free)| (free.capacity_for(&shape.resources), hall))
        .max()
        .map(|(_, hall)| hall)
        .or_else(|| {
            let halls = state.list.workers.iter().map(|worker| &worker.hall);
            halls.filter(|hall| parameters.allows(hall)).min().cloned()
        })
        .ok_or_else(|| "no hall has workers that the parameters allow".to_owned())
}
