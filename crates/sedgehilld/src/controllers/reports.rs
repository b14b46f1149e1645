//! Builds the reports that operators read.

use sedgehill_core::ids::{JobId, RequestId, TaskId};
use sedgehill_core::spec::ConfigKey;
use sedgehill_platform::admin::{
    BoxStatus, ConfigHistory, ConfigListing, DecisionRecord, ExplainReport, HallStatus, JobListing,
    PeerStatus, ServiceStatus, TaskPlacement,
};

use super::{ControlState, members};
use crate::clock;

impl ControlState {
    /// Returns all stored versions of a configuration key.
    pub fn history(&self, key: &ConfigKey) -> ConfigHistory {
        let versions = self.cluster().and_then(|cluster| cluster.configs.get(key));
        ConfigHistory { versions: versions.cloned().unwrap_or_default() }
    }

    /// Returns all configuration keys with their current versions.
    pub fn listing(&self) -> Vec<ConfigListing> {
        let Some(cluster) = self.cluster() else { return Vec::new() };
        cluster
            .configs
            .iter()
            .filter_map(|(key, versions)| {
                let version = versions.last()?.version;
                Some(ConfigListing { key: key.to_string(), version })
            })
            .collect()
    }

    /// Returns all jobs, the oldest first.
    pub fn jobs(&self) -> Vec<JobListing> {
        let Some(cluster) = self.cluster() else { return Vec::new() };
        let mut jobs: Vec<JobListing> =
            cluster.jobs.iter().map(|(id, job)| JobListing { id: *id, job: job.clone() }).collect();
        jobs.sort_by_key(|listing| listing.job.submitted);
        jobs
    }

    /// Returns the status of the box, its peers, halls and services.
    pub fn status(&self) -> BoxStatus {
        let now = clock::now();
        let peers = self.members.states(now).into_iter();
        BoxStatus {
            id: self.own_id().clone(),
            hall: self.shared.settings.hall.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            health: (**self.shared.health.load()).clone(),
            applied: self.cluster().map(|cluster| cluster.next).unwrap_or_default(),
            log_silent_ms: self.log_silence(now).as_millis(),
            peers: peers.map(|(id, state, applied)| PeerStatus { id, state, applied }).collect(),
            halls: self.hall_statuses(),
            services: self.service_statuses(),
            configs: self.listing(),
        }
    }

    fn hall_statuses(&self) -> Vec<HallStatus> {
        let now = clock::now();
        let status =
            |(hall, timer): (&sedgehill_core::ids::HallName, &sedgehill_core::lead::LeadTimer)| {
                let recorded = self.cluster().and_then(|cluster| cluster.halls.get(hall));
                let lead = recorded.and_then(|recorded| recorded.lead.clone());
                let placer = self.placers.get(hall);
                HallStatus {
                    hall: hall.clone(),
                    lead: lead
                        .as_ref()
                        .filter(|lead| !lead.released)
                        .map(|lead| lead.holder.clone()),
                    epoch: lead.map(|lead| lead.epoch),
                    held_here: timer.held_at(now).is_some(),
                    total: placer.map(|placer| placer.capacity().0),
                    free: placer.map(|placer| placer.capacity().1),
                    placed: placer.map(|placer| placer.placed_count()),
                }
            };
        self.leads.iter().map(status).collect()
    }

    fn service_statuses(&self) -> Vec<ServiceStatus> {
        let leaving = members::leaving_endpoints(self, clock::now());
        let queues = self.shared.queues();
        let status = |(service, queue): (
            &sedgehill_core::ids::TemplateName,
            &std::sync::Arc<crate::shared::ServiceQueue>,
        )| {
            let listed = self.list.endpoints.iter().filter(|listing| listing.service == *service);
            let (leaving_listings, active_listings): (Vec<_>, Vec<_>) =
                listed.partition(|listing| leaving.contains(&listing.id));
            ServiceStatus {
                service: service.clone(),
                endpoints: active_listings.len(),
                leaving: leaving_listings.into_iter().map(|listing| listing.id.clone()).collect(),
                waiting: queue.with(|queue| queue.waiting()),
                under_way: queue.with(|queue| queue.in_flight()),
            }
        };
        queues.iter().map(status).collect()
    }

    /// Returns what this box knows about the job, task or request with this id.
    pub fn explain(&self, subject: &str) -> ExplainReport {
        let mut report = ExplainReport::default();
        let task: Option<TaskId> = subject.parse().ok();
        let job: Option<JobId> = task.map(|task| task.job).or_else(|| subject.parse().ok());
        if let Some(job) = job {
            self.explain_job(&mut report, job, task);
        }
        if let Ok(request) = subject.parse::<RequestId>() {
            report.decisions.extend(self.explain_request(&request));
        }
        report
    }

    fn explain_job(&self, report: &mut ExplainReport, id: JobId, task: Option<TaskId>) {
        let stored_job = self.cluster().and_then(|cluster| cluster.jobs.get(&id));
        report.job = stored_job.map(|job| JobListing { id, job: job.clone() });
        let is_relevant = |subject: &str| match task {
            Some(task) => subject == task.to_string(),
            None => subject.starts_with(&id.to_string()),
        };
        let decisions = self.decisions.iter().filter(|decision| is_relevant(&decision.subject));
        report.decisions.extend(decisions.cloned());
        let Some(job) = stored_job else { return };
        let Some(placer) = self.placers.get(&job.hall) else { return };
        let now = clock::now();
        for index in 0..job.tasks.len() as u32 {
            let id = TaskId { job: id, index };
            if task.is_some_and(|task| task != id) {
                continue;
            }
            let placement = placer.placement(&id);
            report.places.push(TaskPlacement {
                task: id.to_string(),
                worker: placement.map(|(worker, _)| worker.clone()),
                for_ms: placement.map(|(_, since)| now.since(since).as_millis()),
                waits_for: placer.wait_reason(&id),
                epoch: placer.epoch(),
            });
        }
    }

    fn explain_request(&self, id: &RequestId) -> Option<DecisionRecord> {
        let trace = self.shared.trace(id)?;
        let decision = match &trace.endpoint {
            Some(endpoint) => format!("{}, sent to {endpoint}", trace.outcome),
            None => trace.outcome.to_owned(),
        };
        let reason = match trace.reason {
            "" => "the least busy endpoint with room, near halls first".to_owned(),
            reason => reason.to_owned(),
        };
        Some(DecisionRecord {
            at_ms: trace.ended_at_ms,
            decided_by: self.own_id().clone(),
            subject: id.to_string(),
            decision,
            reason,
            candidates: trace.candidates,
            applied: trace.applied,
            epoch: None,
        })
    }
}
