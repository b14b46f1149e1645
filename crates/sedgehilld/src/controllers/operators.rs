//! Answers what operators and traffic ask.

use sedgehill_core::ids::{HallName, IdempotencyKey, OrgName, RecordId};
use sedgehill_core::job::JobRequest;
use sedgehill_core::record::RecordBody;
use sedgehill_core::state::RecordVerdict;
use sedgehill_core::units::{Moment, TimeSpan};
use sedgehill_platform::admin::{ChangeBody, ChangeReply, ChangeRequest};
use tokio::sync::{mpsc, oneshot};

use super::log_writer::LogWriter;
use super::{ClaimReply, ControlContext, ControlRequest, ControlState, proof};
use crate::clock;

/// How long a change is tried before its outcome is reported as unknown.
const CHANGE_LIMIT: TimeSpan = TimeSpan(5_000);
/// The longest that a once-only request waits for its claim.
const CLAIM_LIMIT: TimeSpan = TimeSpan(2_000);

/// Answers for as long as the box runs.
pub async fn run(context: ControlContext, mut inbox: mpsc::Receiver<ControlRequest>) {
    while let Some(request) = inbox.recv().await {
        match request {
            ControlRequest::Read(read) => read(&context.state.borrow()),
            ControlRequest::Change { change, reply } => start_change(&context, change, reply),
            ControlRequest::ClaimKey { organisation, key, deadline, reply } => {
                start_claim(&context, organisation, key, deadline, reply);
            }
            ControlRequest::ProveView { since, reply } => {
                let context = context.clone();
                tokio::task::spawn_local(async move {
                    // Whoever asked may have gone.
                    let _ = reply.send(proof::prove(&context, since).await);
                });
            }
            ControlRequest::FindClaim { organisation, key, since, reply } => {
                let context = context.clone();
                tokio::task::spawn_local(async move {
                    let sight = proof::find_claim(&context, &organisation, key, since).await;
                    // Whoever asked may have gone.
                    let _ = reply.send(sight);
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
    context.write_wanted.notify_one();
}

fn start_claim(
    context: &ControlContext,
    organisation: OrgName,
    key: IdempotencyKey,
    deadline: Moment,
    reply: oneshot::Sender<ClaimReply>,
) {
    let now = clock::now();
    let give_up = deadline.min(now.after(CLAIM_LIMIT));
    let id = LogWriter::new_id();
    let body = RecordBody::ClaimKey { organisation: organisation.clone(), key };
    let verdict = context.state.borrow_mut().writer.submit(id, body, give_up);
    context.write_wanted.notify_one();
    let context = context.clone();
    tokio::task::spawn_local(async move {
        let answer = match wait_until(verdict, give_up).await {
            Some(RecordVerdict::Accepted { .. }) => ClaimReply::Granted(id),
            Some(RecordVerdict::Void { reason }) => ClaimReply::Void(reason),
            Some(RecordVerdict::Conflict { .. }) | None => ClaimReply::NotRecorded,
        };
        let may_hold =
            answer == ClaimReply::NotRecorded && context.state.borrow_mut().writer.withdraw(&id);
        let unheard = reply.send(answer).is_err();
        // The request did not run, so whoever asks again with this key may run it.
        if may_hold || (unheard && answer == ClaimReply::Granted(id)) {
            release_key(&context, organisation, key, id);
        }
    });
}

async fn wait_until(
    verdict: oneshot::Receiver<RecordVerdict>,
    give_up: Moment,
) -> Option<RecordVerdict> {
    let left = give_up.since(clock::now());
    let limit = std::time::Duration::from_millis(left.as_millis());
    tokio::time::timeout(limit, verdict).await.ok()?.ok()
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
    let give_up = clock::now().after(CHANGE_LIMIT);
    let verdict = context.state.borrow_mut().writer.submit(change.id, body, give_up);
    context.write_wanted.notify_one();
    let context = context.clone();
    tokio::task::spawn_local(async move {
        let answer = match wait_until(verdict, give_up).await {
            Some(verdict) => ChangeReply::Settled { verdict },
            None => match context.state.borrow_mut().writer.withdraw(&change.id) {
                true => ChangeReply::Unknown,
                false => ChangeReply::NotTaken { reason: "the log does not answer".to_owned() },
            },
        };
        let _ = reply.send(answer);
    });
}

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

fn void_text(reason: sedgehill_core::state::VoidReason) -> String {
    let word = serde_json::to_value(reason).expect("our types serialize");
    word.as_str().unwrap_or_default().to_owned()
}

/// The allowed hall with the most free room, as the leads say; the room is a hint only.
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
    let peers = state
        .members
        .heartbeats(now)
        .flat_map(|beat| beat.capacities.iter().map(|room| (room.hall.clone(), room.free)));
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
