//! Applies records about jobs: submission, admission under quotas, ends of tasks and moves.

use super::{ClusterState, RecordVerdict, VoidReason};
use crate::ids::{Epoch, HallName, JobId, Offset, OrgName, RecordId, TemplateName};
use crate::job::{JobPhase, JobRequest, JobState, MAX_JOB_TASKS, TaskEnd, TaskState};
use crate::spec::{TaskShape, WorkShape};
use crate::units::ResourceSet;

/// Number of ended jobs, kept for status queries, above which each submission removes the oldest.
pub const MAX_KEPT_JOBS: usize = 1_000;

impl ClusterState {
    pub(super) fn submit(
        &mut self,
        id: RecordId,
        request: &JobRequest,
        hall: &HallName,
        at: Offset,
    ) -> RecordVerdict {
        let job = JobId(id.0);
        if let Some(existing) = self.jobs.get(&job) {
            return RecordVerdict::Accepted { at: existing.submitted };
        }
        match self.new_job(request, hall, at) {
            Err(reason) => RecordVerdict::Void { reason },
            Ok(state) => {
                self.jobs.insert(job, state);
                self.admit_held(&request.organisation, &request.template);
                self.prune_jobs();
                RecordVerdict::Accepted { at }
            }
        }
    }

    /// Returns the requirements of a job's tasks, from its template.
    pub fn task_shape(&self, request: &JobRequest) -> Result<&TaskShape, VoidReason> {
        let template = self.template(&request.template).ok_or(VoidReason::NoSuchTemplate)?;
        match &template.work {
            WorkShape::Batch(shape) | WorkShape::Gang(shape) => Ok(shape),
            WorkShape::Service(_) => Err(VoidReason::NoSuchTemplate),
        }
    }

    /// Checks whether a job may be submitted to a data hall.
    pub fn check_job(&self, request: &JobRequest, hall: &HallName) -> Result<(), VoidReason> {
        let shape = self.task_shape(request)?;
        let parameters = self
            .parameters(&request.organisation, &request.template)
            .ok_or(VoidReason::NoSuchTemplate)?;
        if request.tasks == 0 || request.tasks > MAX_JOB_TASKS {
            return Err(VoidReason::TaskCount);
        }
        if !parameters.allows(hall) {
            return Err(VoidReason::HallNotAllowed);
        }
        let demand = shape.resources.times(request.tasks);
        if parameters.quota.is_some_and(|quota| !quota.fits(&demand)) {
            return Err(VoidReason::OverQuota);
        }
        Ok(())
    }

    fn new_job(
        &self,
        request: &JobRequest,
        hall: &HallName,
        at: Offset,
    ) -> Result<JobState, VoidReason> {
        self.check_job(request, hall)?;
        let template = self.template(&request.template).ok_or(VoidReason::NoSuchTemplate)?;
        let parameters = self.parameters(&request.organisation, &request.template);
        Ok(JobState {
            request: request.clone(),
            hall: hall.clone(),
            submitted: at,
            submitted_ms: self.clock_ms,
            shape: self.task_shape(request)?.clone(),
            gang: matches!(template.work, WorkShape::Gang(_)),
            priority: parameters.map_or(0, |parameters| parameters.priority),
            phase: JobPhase::Held,
            tasks: vec![TaskState { attempts: 0, outcome: None }; request.tasks as usize],
        })
    }

    /// Opens held jobs of an organisation and a template, oldest first, as far as the quota allows.
    fn admit_held(&mut self, organisation: &OrgName, template: &TemplateName) {
        let quota = self.parameters(organisation, template).and_then(|parameters| parameters.quota);
        let matches_template = |job: &JobState| {
            job.request.organisation == *organisation && job.request.template == *template
        };
        let demand = |job: &JobState| job.shape.resources.times(job.request.tasks);
        let mut used = self
            .jobs
            .values()
            .filter(|job| matches_template(job) && job.phase == JobPhase::Open)
            .fold(ResourceSet::default(), |sum, job| sum.plus(&demand(job)));
        let mut held: Vec<&mut JobState> = self
            .jobs
            .values_mut()
            .filter(|job| matches_template(job) && job.phase == JobPhase::Held)
            .collect();
        held.sort_by_key(|job| job.submitted);
        for job in held {
            let used_with_job = used.plus(&demand(job));
            if quota.is_some_and(|quota| !quota.fits(&used_with_job)) {
                break;
            }
            used = used_with_job;
            job.phase = JobPhase::Open;
        }
    }

    /// Removes the oldest ended job if more than [`MAX_KEPT_JOBS`] are kept.
    fn prune_jobs(&mut self) {
        let has_ended = |job: &JobState| job.phase.is_final();
        let count = self.jobs.values().filter(|job| has_ended(job)).count();
        if count <= MAX_KEPT_JOBS {
            return;
        }
        let oldest =
            self.jobs.iter().filter(|(_, job)| has_ended(job)).min_by_key(|(_, job)| job.submitted);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.jobs.remove(&id);
        }
    }

    pub(super) fn cancel(&mut self, id: JobId, at: Offset) -> RecordVerdict {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.phase.is_final()) else {
            return RecordVerdict::Void { reason: VoidReason::NoSuchJob };
        };
        job.phase = JobPhase::Cancelled;
        let request = job.request.clone();
        self.admit_held(&request.organisation, &request.template);
        RecordVerdict::Accepted { at }
    }

    pub(super) fn end_tasks(
        &mut self,
        hall: &HallName,
        epoch: Epoch,
        ends: &[TaskEnd],
        at: Offset,
    ) -> RecordVerdict {
        if !self.is_current_epoch(hall, epoch) {
            return RecordVerdict::Void { reason: VoidReason::StaleEpoch };
        }
        let mut any_ended = false;
        for end in ends {
            let Some(job) = self.jobs.get_mut(&end.task.job) else { continue };
            if job.hall != *hall || !job.end_attempt(end) {
                continue;
            }
            any_ended = true;
            if job.phase.is_final() {
                let request = job.request.clone();
                self.admit_held(&request.organisation, &request.template);
            }
        }
        match any_ended {
            true => RecordVerdict::Accepted { at },
            false => RecordVerdict::Void { reason: VoidReason::AttemptEnded },
        }
    }

    pub(super) fn move_job(
        &mut self,
        hall: &HallName,
        epoch: Epoch,
        id: JobId,
        to: &HallName,
        at: Offset,
    ) -> RecordVerdict {
        if !self.is_current_epoch(hall, epoch) {
            return RecordVerdict::Void { reason: VoidReason::StaleEpoch };
        }
        let movable = |job: &&mut JobState| job.hall == *hall && !job.phase.is_final();
        match self.jobs.get_mut(&id).filter(movable) {
            Some(job) => {
                job.hall = to.clone();
                RecordVerdict::Accepted { at }
            }
            None => RecordVerdict::Void { reason: VoidReason::NoSuchJob },
        }
    }
}
