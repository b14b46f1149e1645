//! Decisions of the scheduler, with what decided them.

use std::net::SocketAddr;

use sedgehill_core::units::{ResourceSet, TimeSpan};

use super::message::{HelperId, RunEnd, WorkerRefusal, WorkerTime};
use super::restart::RestartCause;
use super::stall::{StallDetails, StallReason};
use super::suspects::CrashDetection;
use crate::ids::{
    CellTask, FencingToken, JobId, LifeStart, OrganisationName, RunNumber, StepId, WorkerLife,
};
use crate::organisation::ResourceLimit;
use crate::progress::JobState;

/// A decision worth a log line.
#[derive(Debug, Clone, PartialEq)]
pub enum CellEvent {
    /// A start was ordered.
    Placed {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// Where.
        worker: WorkerLife,
        /// Since the job was accepted.
        waited: TimeSpan,
        /// Time left on the ticket.
        ticket_left: Option<TimeSpan>,
        /// What settled the orders of earlier leads, if one of them may have begun the job.
        earlier: Option<SettlementCause>,
        /// How long a long-running task has had no run; none for any other, and for its first one.
        without_run: Option<TimeSpan>,
    },
    /// A start was refused or went unanswered.
    StartFailed {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// Where.
        worker: WorkerLife,
        /// Why; none if there was no answer.
        refusal: Option<WorkerRefusal>,
    },
    /// A run ended.
    Ended {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// Where.
        worker: WorkerLife,
        /// How.
        end: RunEnd,
    },
    /// A stop was ordered.
    Stopping {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// Where.
        worker: WorkerLife,
        /// Why.
        reason: &'static str,
    },
    /// A run is taken as gone.
    RunLost {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// Where.
        worker: WorkerLife,
        /// Why.
        cause: LossCause,
    },
    /// A run was lost with a worker out of touch: it is open whether that crashed.
    LossUnresolved {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// Where.
        worker: WorkerLife,
    },
    /// A worker that was out of touch lives: its loss counts against none of its tasks.
    LossCleared {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// Where.
        worker: WorkerLife,
    },
    /// A worker crashed under a task.
    CrashCounted {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The life that ended.
        worker: WorkerLife,
        /// Nothing of another job was there.
        alone: bool,
        /// The worker had said that the run was there.
        seen: bool,
        /// Other runs that were there; 0 where that is not known any more.
        other_runs: usize,
        /// What told the crash.
        detected_by: CrashDetection,
        /// Workers that crashed under the task so far.
        count: usize,
    },
    /// A worker crashed under a task together with others, so that it says nothing of the task.
    CorrelatedCrash {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The life that ended.
        worker: WorkerLife,
        /// Workers that were lost at that moment with nothing of the task's job on them.
        others: usize,
    },
    /// A worker crashed on which a start went unanswered, which most likely came to a worker that was down.
    UnansweredStartLost {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// The life that ended.
        worker: WorkerLife,
        /// Such losses of the task that are remembered.
        count: usize,
    },
    /// A task is taken as the cause of crashes, and its job fails.
    TaskGivenUp {
        /// The task.
        task: CellTask,
        /// The lives that ended under it.
        workers: Vec<WorkerLife>,
    },
    /// A run of an earlier lead is taken over.
    RunAdopted {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// Where.
        worker: WorkerLife,
    },
    /// A worker lists a run that this lead does not want; it is stopped.
    RunUnwanted {
        /// The task.
        task: CellTask,
        /// The run.
        run: RunNumber,
        /// Where.
        worker: WorkerLife,
        /// What the lead takes as true of the task instead.
        known_state: KnownTaskState,
    },
    /// The advice service was asked.
    AdviceRequested {
        /// The step.
        step: StepId,
        /// Workers named.
        named: usize,
        /// Who asks.
        helper: HelperId,
    },
    /// The advice service answered, or did not.
    AdviceReceived {
        /// The step.
        step: StepId,
        /// Who asked.
        helper: HelperId,
        /// Workers that may run the step; none without an answer.
        allowed: Option<usize>,
        /// Since the question; none if it was given up before.
        took: Option<TimeSpan>,
    },
    /// The answer of the advice service takes far longer than the question costs: it may be asked elsewhere.
    AdviceOverdue {
        /// The step.
        step: StepId,
        /// Who asked.
        helper: HelperId,
    },
    /// Tasks of a step could run but for the limit of their organisation.
    LimitReached {
        /// The step.
        step: StepId,
        /// Whose limit.
        organisation: OrganisationName,
        /// What runs for it, or may.
        running: ResourceSet,
        /// The most that may.
        limit: ResourceLimit,
        /// What one more task needs.
        need: ResourceSet,
    },
    /// Nothing of a step runs, though its turn came long ago and there is room for it twice over.
    Stalled {
        /// The step.
        step: StepId,
        /// Where it was turned back last.
        reason: StallReason,
        /// For how long.
        stalled_for: TimeSpan,
        /// What was believed then.
        details: StallDetails,
    },
    /// A long-running task lost its run a while ago and does not run again yet.
    RestartLate {
        /// The task.
        task: CellTask,
        /// What took its run.
        cause: RestartCause,
        /// For how long it has had none.
        without_run: TimeSpan,
        /// The gate that turned it back last.
        reason: StallReason,
        /// Steps that were ranked before it then.
        ahead: usize,
        /// What is believed of its step.
        details: StallDetails,
    },
    /// A job is over.
    JobEnded {
        /// The job.
        job: JobId,
        /// How.
        state: JobState,
        /// Since it was accepted.
        after: TimeSpan,
    },
    /// A worker is new, or takes orders again, or does not.
    WorkerChanged {
        /// The worker.
        worker: WorkerLife,
        /// What changed.
        change: &'static str,
        /// Where it takes orders.
        address: SocketAddr,
    },
    /// A worker answered this lead for the first time, and so refuses every earlier one.
    WorkerHeard {
        /// The worker.
        worker: WorkerLife,
        /// It stood in the roster of an earlier lead.
        inherited: bool,
        /// Runs that it listed as running.
        running: usize,
        /// Ends that it listed.
        ended: usize,
        /// Its clock.
        clock: WorkerTime,
        /// When the longest lease that an earlier lead may have asked for ends.
        lease_until: WorkerTime,
        /// Since the store refuses earlier leads.
        after: TimeSpan,
    },
    /// A life of a worker is taken as ended, since another one answered at its address.
    WorkerEnded {
        /// The life that ended.
        worker: WorkerLife,
        /// Where the other one answered.
        address: SocketAddr,
        /// What it was asked.
        call: WorkerCall,
        /// Runs that were there.
        runs: usize,
        /// How long ago the ended life last answered this lead; none if it never did.
        silent: Option<TimeSpan>,
    },
    /// A worker started again under its id: another life answers than the one that is known. That one counts as ended
    /// once the next is heard under its own token.
    WorkerRestarted {
        /// The life that was known.
        worker: WorkerLife,
        /// The one that answers.
        next: WorkerLife,
        /// The token for calls to that; none while all are used up.
        token: Option<FencingToken>,
        /// Runs that the earlier life had, or may have had.
        runs: usize,
        /// The number up to which it was told to forget ends.
        acknowledged: u64,
        /// How long ago it last answered this lead; none if it never did.
        silent: Option<TimeSpan>,
    },
    /// An account does not tell which life gives it, though that is known of the worker; or it is of an earlier life.
    ReportIgnored {
        /// The life that was asked.
        worker: WorkerLife,
        /// The start that the account tells.
        start: Option<LifeStart>,
    },
    /// A worker has seen a higher token.
    FencedByWorker {
        /// The worker.
        worker: WorkerLife,
        /// What it was asked.
        call: WorkerCall,
    },
    /// What earlier leads did is settled.
    TakeOverSettled(TakeOverSettled),
    /// A job became known, after this lead had caught up, whose tasks another lead may start. Nothing of it is
    /// started unless this lead's own record turns out to be the mark.
    JobLedElsewhere {
        /// The job.
        job: JobId,
        /// Since the store refuses earlier leads.
        after: TimeSpan,
    },
}

/// What settled whether an earlier lead has something of a job running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettlementCause {
    /// Every worker of the roster has answered this lead, or has ended.
    Heard,
    /// The term and the longest lease of earlier leads have passed.
    Time,
    /// Nothing did: the take-over is not settled.
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

/// How what earlier leads did came to be settled.
#[derive(Debug, Clone, PartialEq)]
pub struct TakeOverSettled {
    /// By what.
    pub by: SettlementCause,
    /// Since the store refuses earlier leads.
    pub after: TimeSpan,
    /// Workers of the inherited roster that have answered.
    pub heard: usize,
    /// Those that are taken as ended.
    pub ended: usize,
    /// Those that did neither.
    pub unheard: usize,
    /// Some of these.
    pub unheard_some: Vec<WorkerLife>,
    /// Jobs that an earlier lead may have begun, and whose tasks may start from now on.
    pub jobs: usize,
}

/// A call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerCall {
    /// For its account.
    Account,
    /// To start a run.
    Start,
    /// To stop a run.
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

/// Why a run is taken as gone, with what said so.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LossCause {
    /// The worker has been silent for longer than its lease.
    LeaseEnded(LeaseReading),
    /// An account that was asked for after the run had to be listed lists it neither as running nor
    /// as ended.
    NotListed {
        /// How long ago the account was asked for.
        asked: TimeSpan,
        /// Since when the run had to be listed.
        listed_from: TimeSpan,
        /// The number up to which the account told the worker to forget ends.
        acknowledged: u64,
    },
    /// Another life answered at the worker's address.
    WorkerEnded {
        /// The address.
        address: SocketAddr,
        /// What it was asked.
        call: WorkerCall,
    },
}

impl LossCause {
    /// The name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            LossCause::LeaseEnded(_) => "lease ended",
            LossCause::NotListed { .. } => "not listed",
            LossCause::WorkerEnded { .. } => "worker ended",
        }
    }
}

/// What a lease is taken as ended by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseReading {
    /// The end of the last lease that any lead may have asked for.
    pub until: WorkerTime,
    /// The newest reading of the worker's clock.
    pub clock: WorkerTime,
    /// How old the reading is.
    pub age: TimeSpan,
    /// The least that the clock shows now.
    pub least: WorkerTime,
}

/// What a lead takes as true of a task.
#[derive(Debug, Clone, PartialEq)]
pub enum KnownTaskState {
    /// It runs on another worker, or may.
    Placed {
        /// The run.
        run: RunNumber,
        /// Where.
        worker: WorkerLife,
        /// How long ago that worker last answered this lead; none if it never did.
        answered: Option<TimeSpan>,
    },
    /// It ended done.
    Done,
    /// Its job is cancelled or over.
    JobOver(JobState),
    /// There is no such job, or it has no such task.
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
