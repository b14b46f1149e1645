//! Events that the scheduler reports for logs and metrics, with the reasons for its decisions.

use std::net::SocketAddr;

use sedgehill_core::units::{ResourceSet, TimeSpan};

use super::admission::{AdmissionInputs, AdmissionOutcome};
use super::limit_stops::LimitResource;
use super::message::{HelperId, RunEnd, WorkerRefusal, WorkerTime};
use super::organisations::OrganisationKey;
use super::question_order::QuestionClass;
use super::restart::RestartCause;
use super::speeds::LogFactor;
use super::stall::{StallDetails, StallReason};
use super::suspects::CrashDetection;
use super::worker_speeds::SpeedStats;
use crate::ids::{
    CellTask, FencingToken, JobId, LifeStart, OrganisationName, PoolName, QueueName, RunNumber,
    StepId, WorkerLife,
};
use crate::organisation::ResourceLimit;
use crate::progress::JobState;

/// An event that is logged and counted.
#[derive(Debug, Clone, PartialEq)]
pub enum CellEvent {
    /// A start was ordered.
    Placed {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
        /// Time since the job was accepted.
        waited: TimeSpan,
        /// Time left on the ticket; none without a ticket.
        ticket_left: Option<TimeSpan>,
        /// What settled the orders of earlier leads, if one of them may have started the job.
        earlier: Option<SettlementCause>,
        /// How long the long-running task has had no run; none for its first run and for other
        /// tasks.
        without_run: Option<TimeSpan>,
        /// The expected factor of the worker on run times; none unless the speeds of its pool are
        /// taken into account.
        speed: Option<LogFactor>,
    },
    /// A start was refused or went unanswered.
    StartFailed {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
        /// The worker's reason; none if there was no answer.
        refusal: Option<WorkerRefusal>,
    },
    /// A run ended.
    Ended {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
        /// How it ended.
        end: RunEnd,
    },
    /// A stop was ordered.
    Stopping {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
        /// Why it is stopped.
        reason: &'static str,
    },
    /// A run is considered gone without a report of its end.
    RunLost {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
        /// Why it is considered gone.
        cause: LossCause,
    },
    /// A run was lost with an unreachable worker, which may or may not have crashed.
    LossUnresolved {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
    },
    /// Starts of the task no longer wait for news of the lost worker. The loss is remembered.
    LossUnheard {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
    },
    /// A listed worker belongs to a pool that neither the configuration nor an open job names.
    EntryPassedOver {
        /// The worker.
        worker: WorkerLife,
        /// Its pool.
        pool: PoolName,
    },
    /// A lost run is no longer remembered, since its job is over or nothing was heard for long.
    LossForgotten {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
    },
    /// A start was counted against the number that users accept after three crashes.
    FurtherStart {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The number of such starts so far.
        count: u8,
    },
    /// An unreachable worker turned out to be alive, so the lost run does not count as a crash.
    LossCleared {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
    },
    /// A worker crashed while a task ran there.
    CrashCounted {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The life that crashed.
        worker: WorkerLife,
        /// No run of another job that could have caused the crash was on the worker.
        alone: bool,
        /// The worker had reported the run.
        seen: bool,
        /// Other runs on the worker; 0 if that is no longer known.
        other_runs: usize,
        /// How the crash was detected.
        detected_by: CrashDetection,
        /// Crashes that now count for the task.
        count: usize,
    },
    /// A worker crashed at the same time as many others, so the crash is no evidence against the
    /// task.
    CorrelatedCrash {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The life that crashed.
        worker: WorkerLife,
        /// Other workers lost at that moment on which the task's job had no runs.
        others: usize,
    },
    /// A worker crashed on which a start went unanswered. Most likely it was already down when the
    /// start was sent.
    UnansweredStartLost {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The life that crashed.
        worker: WorkerLife,
        /// Such losses that are remembered for the task.
        count: usize,
    },
    /// A task is considered the cause of crashes, and its job fails.
    TaskGivenUp {
        /// The task.
        task: CellTask,
        /// The lives that crashed while the task ran there.
        workers: Vec<WorkerLife>,
    },
    /// This lead took over a run that an earlier lead started.
    RunAdopted {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
    },
    /// A worker reports a run that this lead does not want, and the run is stopped.
    RunUnwanted {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
        /// What this lead knows of the task.
        known_state: KnownTaskState,
    },
    /// A question was sent to the advice service.
    AdviceRequested {
        /// The step.
        step: StepId,
        /// The number of workers that the question names.
        named: usize,
        /// The box that asks.
        helper: HelperId,
        /// Whether the question is short or long.
        class: QuestionClass,
        /// The time until the step must start to meet the objective; zero if that has passed.
        time_left: TimeSpan,
        /// The time for which the step found no box.
        waited: TimeSpan,
    },
    /// A question to the advice service was answered or failed.
    AdviceReceived {
        /// The step.
        step: StepId,
        /// The box that asked.
        helper: HelperId,
        /// The number of workers that may run the step; none without an answer.
        allowed: Option<usize>,
        /// Time since the question was sent; none if it had been given up before.
        took: Option<TimeSpan>,
    },
    /// An answer of the advice service is overdue. The question may be asked again through another
    /// box.
    AdviceOverdue {
        /// The step.
        step: StepId,
        /// The box that asked.
        helper: HelperId,
    },
    /// The limit of an organisation is all that keeps tasks of a step from starting.
    LimitReached {
        /// The step.
        step: StepId,
        /// The organisation.
        organisation: OrganisationName,
        /// The resources of its tasks that run, or may run.
        running: ResourceSet,
        /// Its limit.
        limit: ResourceLimit,
        /// The resources that one more task needs.
        need: ResourceSet,
    },
    /// No task of a step has run for a long time although it is due and there is twice the room
    /// that it needs.
    Stalled {
        /// The step.
        step: StepId,
        /// What prevented its last attempt.
        reason: StallReason,
        /// How long it has been stalled.
        stalled_for: TimeSpan,
        /// The scheduler's view of the step.
        details: StallDetails,
    },
    /// A long-running task that lost its run is not running again in time.
    RestartLate {
        /// The task.
        task: CellTask,
        /// How it lost its run.
        cause: RestartCause,
        /// How long it has had no run.
        without_run: TimeSpan,
        /// What prevented its last attempt.
        reason: StallReason,
        /// The number of steps that ranked before it in that attempt.
        ahead: usize,
        /// The scheduler's view of its step.
        details: StallDetails,
    },
    /// A job is over.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its final state.
        state: JobState,
        /// Time since it was accepted.
        after: TimeSpan,
    },
    /// The state of a worker changed: for instance it is new, silent, or answers again.
    WorkerChanged {
        /// The worker.
        worker: WorkerLife,
        /// What changed, as shown in logs.
        change: &'static str,
        /// The address that takes its orders.
        address: SocketAddr,
    },
    /// A worker reported to this lead for the first time, and from now on refuses every earlier
    /// lead.
    WorkerHeard {
        /// The worker.
        worker: WorkerLife,
        /// It was in the roster of an earlier lead.
        inherited: bool,
        /// Runs that it reported as running.
        running: usize,
        /// Run ends that it reported.
        ended: usize,
        /// The reading of its clock.
        clock: WorkerTime,
        /// The end of the longest lease that an earlier lead may have asked for, by the worker's
        /// clock.
        lease_until: WorkerTime,
        /// Time since the store began to refuse earlier leads.
        after: TimeSpan,
    },
    /// A life of a worker is considered ended, since another life answered at its address.
    WorkerEnded {
        /// The life that ended.
        worker: WorkerLife,
        /// The address that answered.
        address: SocketAddr,
        /// The call that was answered.
        call: WorkerCall,
        /// Runs that were on it.
        runs: usize,
        /// Time since the ended life last answered this lead; none if it never did.
        silent: Option<TimeSpan>,
    },
    /// A worker restarted under its id: another life than the known one answered. The known life
    /// counts as ended once the new one has reported under its own token.
    WorkerRestarted {
        /// The known life.
        worker: WorkerLife,
        /// The life that answered.
        next: WorkerLife,
        /// The token for calls to the new life; none while all tokens are used up.
        token: Option<FencingToken>,
        /// Runs that the known life had, or may have had.
        runs: usize,
        /// The number up to which its run ends were acknowledged.
        acknowledged: u64,
        /// Time since the known life last answered this lead; none if it never did.
        silent: Option<TimeSpan>,
    },
    /// A report was ignored: it does not name the life that sent it, although the worker is known
    /// to name it, or it comes from an earlier life.
    ReportIgnored {
        /// The life that was asked.
        worker: WorkerLife,
        /// The start of the life that the report names.
        start: Option<LifeStart>,
    },
    /// A report lists only the first of the worker's ends.
    ReportPartial {
        /// The worker.
        worker: WorkerLife,
        /// The number of ends in the report.
        ended: usize,
        /// The number up to which the hold that asked for the report acknowledged run ends.
        acknowledged: u64,
        /// Runs that it does not list and that are kept, since they may have ended.
        kept: usize,
    },
    /// A worker refused this lead, since it has seen a higher token.
    FencedByWorker {
        /// The worker.
        worker: WorkerLife,
        /// The call that was refused.
        call: WorkerCall,
    },
    /// It is now known what earlier leads started.
    TakeOverSettled(TakeOverSettled),
    /// After this lead had read all earlier records, a job appeared whose tasks another lead may
    /// start. None of its tasks are started unless the job's record turns out to be this lead's
    /// own.
    JobLedElsewhere {
        /// The job.
        job: JobId,
        /// Time since the store began to refuse earlier leads.
        after: TimeSpan,
    },
    /// This lead took over the speeds that earlier leads recorded.
    SpeedsInherited {
        /// The workers in the records.
        machines: usize,
        /// Those of them whose speed is still known.
        known: usize,
        /// The queues in the records.
        queues: usize,
        /// Time since the oldest record was written; none if there is no record.
        age: Option<TimeSpan>,
    },
    /// Differences of speed between the workers of a pool are taken into account from now on, or no
    /// longer.
    SpeedsInEffect(SpeedStats),
    /// Runs of an organisation are stopped to make room under its limit for a more urgent step.
    LimitPreempted {
        /// The step.
        step: StepId,
        /// The organisation.
        organisation: OrganisationName,
        /// The scheduler's index of the organisation.
        key: OrganisationKey,
        /// The resource that is scarcest under the limit.
        binding: Option<LimitResource>,
        /// The tasks of the step that the room is for.
        tasks: usize,
        /// The resources that each of them needs.
        need: ResourceSet,
        /// The resources of the organisation's tasks that run, or may run.
        running: ResourceSet,
        /// Its limit.
        limit: ResourceLimit,
        /// The resources of runs that were being stopped already.
        coming: ResourceSet,
        /// The tasks whose runs are stopped.
        stopped: Vec<CellTask>,
        /// The age of the oldest report of their workers.
        oldest_report: TimeSpan,
    },
    /// Tasks of a step were started in room under a limit for which a step that ranks before it
    /// waits.
    LimitBackfilled {
        /// The step.
        step: StepId,
        /// The organisation.
        organisation: OrganisationName,
        /// The scheduler's index of the organisation.
        key: OrganisationKey,
        /// The tasks that fitted only because the waiting step cannot use the room yet.
        tasks: usize,
        /// The time within which they are expected to end; none if they have no end.
        ends_within: Option<TimeSpan>,
        /// The first waiting step.
        ahead: StepId,
        /// The time until that step is expected to get its room; none if it is not known.
        ahead_starts_in: Option<TimeSpan>,
    },
    /// A submitted job of an organisation with a limit was accepted or refused.
    AdmissionDecided {
        /// The job.
        job: JobId,
        /// Its organisation.
        organisation: OrganisationName,
        /// Its queue.
        queue: QueueName,
        /// What the decision was made from.
        inputs: AdmissionInputs,
        /// The decision with its reason.
        outcome: AdmissionOutcome,
    },
}

/// What settled whether an earlier lead's runs of a job still exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettlementCause {
    /// Every worker of the roster has reported to this lead, or has ended.
    Heard,
    /// The term and the longest lease of earlier leads have passed.
    Time,
    /// The take-over is not settled yet.
    Nothing,
}

impl SettlementCause {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            SettlementCause::Heard => "heard",
            SettlementCause::Time => "time",
            SettlementCause::Nothing => "nothing",
        }
    }
}

/// How the take-over from earlier leads was settled.
#[derive(Debug, Clone, PartialEq)]
pub struct TakeOverSettled {
    /// What settled it.
    pub by: SettlementCause,
    /// Time since the store began to refuse earlier leads.
    pub after: TimeSpan,
    /// Workers of the inherited roster that have reported.
    pub heard: usize,
    /// Workers of the inherited roster that are considered ended.
    pub ended: usize,
    /// Workers of the inherited roster that have neither reported nor ended.
    pub unheard: usize,
    /// The first few of these.
    pub unheard_some: Vec<WorkerLife>,
    /// Jobs that an earlier lead may have started, and whose tasks may start from now on.
    pub jobs: usize,
}

/// A kind of call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerCall {
    /// A hold, which asks for a report.
    Account,
    /// An order to start a run.
    Start,
    /// An order to stop a run.
    Stop,
}

impl WorkerCall {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            WorkerCall::Account => "account",
            WorkerCall::Start => "start",
            WorkerCall::Stop => "stop",
        }
    }
}

/// Why a run is considered gone, with the evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LossCause {
    /// The worker has been silent for longer than its lease.
    LeaseEnded(LeaseReading),
    /// A report that had to list the run, because it was asked for late enough, lists it neither as
    /// running nor as ended.
    NotListed {
        /// Time since the report was asked for.
        asked: TimeSpan,
        /// Time since the run had to be listed in reports.
        listed_from: TimeSpan,
        /// The number up to which the hold that asked for the report acknowledged run ends.
        acknowledged: u64,
        /// The number of ends in the report.
        ended: usize,
    },
    /// A report does not list the run, whose start had expired by the worker's clock. No stop was
    /// answered.
    StartExpired {
        /// The end of the lease in the start.
        until: WorkerTime,
        /// The reading of the worker's clock in the report.
        clock: WorkerTime,
    },
    /// Another life answered at the worker's address.
    WorkerEnded {
        /// The address.
        address: SocketAddr,
        /// The call that was answered.
        call: WorkerCall,
    },
}

impl LossCause {
    /// The name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            LossCause::LeaseEnded(_) => "lease ended",
            LossCause::NotListed { .. } => "not listed",
            LossCause::StartExpired { .. } => "start expired",
            LossCause::WorkerEnded { .. } => "worker ended",
        }
    }
}

/// The evidence that a lease has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseReading {
    /// The end of the last lease that any lead may have asked for.
    pub until: WorkerTime,
    /// The newest reading of the worker's clock.
    pub clock: WorkerTime,
    /// The age of the reading.
    pub age: TimeSpan,
    /// The earliest time that the clock can show now.
    pub least: WorkerTime,
}

/// What a lead knows of a task.
#[derive(Debug, Clone, PartialEq)]
pub enum KnownTaskState {
    /// It runs, or may run, on another worker.
    Placed {
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: WorkerLife,
        /// Time since that worker last answered this lead; none if it never did.
        answered: Option<TimeSpan>,
    },
    /// It ended done.
    Done,
    /// Its job is cancelled or over.
    JobOver(JobState),
    /// The job is unknown, or has no such task.
    Unknown,
}

impl KnownTaskState {
    /// The name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            KnownTaskState::Placed { .. } => "placed",
            KnownTaskState::Done => "done",
            KnownTaskState::JobOver(_) => "job_over",
            KnownTaskState::Unknown => "unknown_job",
        }
    }
}
