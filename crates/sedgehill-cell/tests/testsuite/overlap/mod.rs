//! A simulation of several boxes with the real `LeadWatch`, `CellReplica` and `Scheduler`, a fake store, and fake
//! workers that keep the rules of the platform. Time advances in small steps. The checks use the state of the workers
//! only: their runs and the ends that were acknowledged.

mod answers;
mod crashes;
mod host;
mod paths;
pub mod scenario;
mod session;
mod store;
mod worker;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use sedgehill_cell::ids::{CellTask, JobId, RunNumber};
use sedgehill_cell::job::JobRecord;
use sedgehill_cell::progress::JobState;
use sedgehill_cell::replica::CellRecord;
use sedgehill_cell::scheduler::{RunEnd, WorkerEntry};
use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use self::host::{Call, Host, Reply};
use self::paths::Channel;
pub use self::paths::{Delivery, Path};
use self::store::{JOBS, PROGRESS, Row, SimStore};
use self::worker::{SimWorker, WorkerCall};
use crate::fake::worker_entry;

/// A call on its way, with the life of the box that sent it and the number of the call.
struct Request {
    host: usize,
    life: u64,
    number: u64,
    call: Call,
}

/// The answer to a call on its way back to a box.
struct Response {
    host: usize,
    life: u64,
    number: u64,
    reply: Reply,
}

/// The paths from one box to workers and to the store.
#[derive(Debug, Clone, Default)]
pub struct HostPaths {
    pub workers: Vec<Path>,
    /// The path to the topic of lead records.
    pub leads: Path,
    /// The path to the rest of the store.
    pub store: Path,
}

/// The simulated boxes, workers and store, and the paths between them.
pub struct World {
    pub now: Moment,
    pub paths: Vec<HostPaths>,
    hosts: Vec<Host>,
    pub workers: Vec<SimWorker>,
    store: SimStore,
    requests: Channel<Request>,
    responses: Channel<Response>,
    /// Number of lives of boxes so far.
    life_count: u64,
    jobs: BTreeMap<JobId, JobRecord>,
    /// The runs that started, with the index of the worker of each.
    pub starts: Vec<(CellTask, RunNumber, usize)>,
    /// Tasks that have ended with `Done` on a worker, whether or not a lead has read the end.
    done: BTreeSet<CellTask>,
    /// Tasks that ended with `Done` and whose end was acknowledged before the worker's lease ended.
    acknowledged_ends: BTreeSet<CellTask>,
    /// The first run of each task that started after the task had ended with `Done` and before that end was
    /// acknowledged.
    restarted: HashMap<CellTask, RunNumber>,
    /// Tasks that crash the workers that start them, with the time from the start to the crash.
    crash_delays: HashMap<CellTask, TimeSpan>,
    /// Crashes to come: the time, the index of the worker, and the run that causes the crash.
    pending_crashes: Vec<(Moment, usize, CellTask, RunNumber)>,
    /// Number of workers that each of these tasks crashed.
    crashes: HashMap<CellTask, usize>,
    /// Number of starts of each of these tasks by undisturbed boxes after `UNCOUNTED_CRASHES` crashes.
    further_starts: HashMap<CellTask, usize>,
    /// The time of the last fault of each box.
    last_fault_at: Vec<Moment>,
    /// The capacity of each worker at first.
    capacity: ResourceSet,
    /// Whether workers that a task crashes restart with the same id.
    keeps_ids: bool,
    /// Whether the tasks of steps that are no gangs are long-running.
    pub long_running: bool,
}

impl World {
    /// Returns a world with a worker for each entry of `slow`, the slowness of its clock in thousandths.
    pub fn new(hosts: usize, slow: &[u64], capacity: u64) -> World {
        let now = Moment(1_000_000);
        let worker =
            |(number, slow): (usize, &u64)| SimWorker::new(number as u16, capacity, *slow, now);
        let paths =
            HostPaths { workers: vec![Path::default(); slow.len()], ..HostPaths::default() };
        let mut world = World {
            now,
            paths: vec![paths; hosts],
            hosts: Vec::new(),
            workers: slow.iter().enumerate().map(worker).collect(),
            store: SimStore::default(),
            requests: Channel::default(),
            responses: Channel::default(),
            life_count: 0,
            jobs: BTreeMap::new(),
            starts: Vec::new(),
            done: BTreeSet::new(),
            acknowledged_ends: BTreeSet::new(),
            restarted: HashMap::new(),
            crash_delays: HashMap::new(),
            pending_crashes: Vec::new(),
            crashes: HashMap::new(),
            further_starts: HashMap::new(),
            last_fault_at: vec![Moment(0); hosts],
            capacity: worker_entry(0, capacity).capacity,
            keeps_ids: false,
            long_running: false,
        };
        for number in 0..hosts {
            let host = world.new_life(number);
            world.hosts.push(host);
        }
        world
    }

    /// Makes all workers report when their lives started, and restart with the same id.
    pub fn reuse_ids(&mut self) {
        self.keeps_ids = true;
        self.workers.iter_mut().for_each(SimWorker::report_start);
    }

    fn new_life(&mut self, number: usize) -> Host {
        self.life_count += 1;
        Host::new(&format!("box {number}"), self.life_count, number as u64, self.now)
    }

    /// Advances time by `span` in steps of `step`.
    pub fn run(&mut self, span: TimeSpan, step: TimeSpan) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(step);
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.crash_due_workers();
        for worker in &mut self.workers {
            worker.start_due_life(self.now);
        }
        for request in self.requests.take_arrived(self.now) {
            self.carry_out(request);
        }
        for response in self.responses.take_arrived(self.now) {
            let host = &mut self.hosts[response.host];
            if host.life == response.life && host.back_at.is_none() {
                host.inbox.push((response.number, response.reply));
            }
        }
        for number in 0..self.hosts.len() {
            if self.hosts[number].back_at.is_some_and(|at| self.now >= at) {
                self.hosts[number] = self.new_life(number);
            }
            self.step(number);
        }
    }

    fn step(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        if host.back_at.is_some() || self.now < host.frozen_until {
            return;
        }
        let life = host.life;
        for (call_number, call) in host.step(self.now) {
            let delivery = self.path(number, &call).request;
            let request = Request { host: number, life, number: call_number, call };
            self.requests.send(delivery, request, self.now);
        }
    }

    fn path(&self, host: usize, call: &Call) -> Path {
        let paths = &self.paths[host];
        match call {
            Call::Store(call) if call.is_on_lead_topic() => paths.leads,
            Call::Store(_) => paths.store,
            Call::Worker { to, .. } => paths.workers[worker_index(to)],
        }
    }

    fn carry_out(&mut self, request: Request) {
        let delivery = self.path(request.host, &request.call).reply;
        let Request { host, life, number, call } = request;
        let reply = match call {
            Call::Store(call) => {
                let now = self.now;
                let listed: Vec<WorkerEntry> =
                    self.workers.iter().flat_map(|worker| worker.listed(now)).collect();
                Reply::Store(self.store.call(call, &listed))
            }
            Call::Worker { to, token, call } => {
                let index = worker_index(&to);
                let before = self.workers[index].runs.clone();
                let reply = self.workers[index].call(&to.life, token, &call, self.now);
                self.check_acknowledged(index);
                if let WorkerCall::Start(order) = &call {
                    let was_running =
                        before.get(&order.task).is_some_and(|run| run.run == order.run);
                    let running = self.workers[index].runs.get(&order.task);
                    if !was_running && running.is_some_and(|run| run.run == order.run) {
                        self.check_start(index, order.task, order.run);
                        self.schedule_crash(host, index, order.task, order.run);
                    }
                }
                match reply {
                    Some(reply) => Reply::Worker(reply),
                    None => return,
                }
            }
        };
        self.responses.send(delivery, Response { host, life, number, reply }, self.now);
    }

    /// Checks that a run that has just started breaks no rule.
    fn check_start(&mut self, index: usize, task: CellTask, run: RunNumber) {
        self.expire_leases();
        let worker = &self.workers[index];
        assert!(worker.fits(self.now), "{} runs more than its capacity", worker.entry.life);
        let runs = self.workers.iter().filter(|worker| worker.runs.contains_key(&task));
        assert_eq!(runs.count(), 1, "{task} does not run on exactly one worker");
        assert!(
            !self.acknowledged_ends.contains(&task),
            "{task} starts after its end was acknowledged"
        );
        if self.done.contains(&task) {
            self.restarted.entry(task).or_insert(run);
        }
        let started_before =
            self.starts.iter().any(|(started, number, _)| (*started, *number) == (task, run));
        assert!(!started_before, "run {run} of {task} starts twice");
        self.starts.push((task, run, index));
    }

    /// Checks the ends that were acknowledged to a worker.
    fn check_acknowledged(&mut self, index: usize) {
        for end in std::mem::take(&mut self.workers[index].acknowledged_ends) {
            let restarted = self.restarted.get(&end.task).is_some_and(|later| end.run < *later);
            assert!(
                !restarted,
                "the end of {} is acknowledged after a later run started",
                end.task
            );
            self.acknowledged_ends.insert(end.task);
        }
    }

    /// Submits a job at a box. If the box has a session as lead, the session accepts the job; otherwise the job is
    /// written to the store directly.
    pub fn submit(&mut self, host: usize, record: JobRecord) {
        let id = JobId(self.jobs.len() as u64);
        self.jobs.insert(id, record.clone());
        let host = &mut self.hosts[host];
        match &mut host.session {
            Some(session) if host.back_at.is_none() => session.submitted.push((id, record)),
            _ => {
                let statement = CellRecord::Job(record);
                let row = Row { key: statement.key(id), value: statement.encode() };
                self.store.put_job(row);
            }
        }
    }

    /// Ends a run, chosen by any number.
    pub fn end_some(&mut self, pick: usize, end: RunEnd) {
        self.expire_leases();
        let runs = self.all_runs();
        if let Some((index, task)) = runs.get(pick % runs.len().max(1)) {
            self.end(*index, *task, end);
        }
    }

    fn expire_leases(&mut self) {
        for worker in &mut self.workers {
            worker.expire_lease(self.now);
        }
    }

    /// Ends a run, and with it the other members of its gang: with `Done`, or with `Broken` for any other end. If the
    /// gang is incomplete, it cannot work, and the run ends with `Alone`. Long-running tasks always fail.
    fn end(&mut self, index: usize, task: CellTask, end: RunEnd) {
        let spec = &self.jobs[&task.step.job].spec.steps[usize::from(task.step.step)];
        let (gang, count) = (spec.gang, usize::from(spec.count));
        let end = if spec.long_running { RunEnd::Failed } else { end };
        let run = self.workers[index].runs[&task].run;
        let mut members = self.all_runs();
        members.retain(|(at, member)| match gang {
            true => member.step == task.step && self.workers[*at].runs[member].run == run,
            false => *member == task,
        });
        let end = if gang && members.len() < count { RunEnd::Alone } else { end };
        for (at, member) in members {
            let member_end = match end {
                RunEnd::Done => RunEnd::Done,
                end if member == task => end,
                _ => RunEnd::Broken,
            };
            self.workers[at].end(member, member_end);
            if member_end == RunEnd::Done {
                self.done.insert(member);
            }
        }
    }

    fn all_runs(&self) -> Vec<(usize, CellTask)> {
        let workers = self.workers.iter().enumerate();
        workers
            .flat_map(|(index, worker)| worker.runs.keys().map(move |task| (index, *task)))
            .collect()
    }

    /// Stops the process of a box for `span`. Answers to it wait.
    pub fn freeze(&mut self, host: usize, span: TimeSpan) {
        self.hosts[host].frozen_until = self.now.after(span);
    }

    /// Ends the process of a box, and starts a new one after `span`.
    pub fn kill(&mut self, host: usize, span: TimeSpan) {
        let back = self.now.after(span);
        let host = &mut self.hosts[host];
        host.back_at = host.back_at.or(Some(back));
    }

    /// Makes a box resign as the lead, if it is the lead.
    pub fn resign(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        host.resign_requested = host.session.is_some();
    }

    /// Makes a box find that nothing listens at the lead's address.
    pub fn refuse_connection(&mut self, host: usize) {
        self.hosts[host].watch.note_connection_refused();
    }

    /// Sets whether a box has a connection to the lead.
    pub fn set_reachable(&mut self, host: usize, reachable: bool) {
        self.hosts[host].watch.note_reachable(reachable);
    }

    /// Makes the store discard the history of its topics.
    pub fn discard_history(&mut self) {
        for topic in 0..store::TOPICS {
            self.store.discard_history(topic);
        }
    }

    /// Returns the boxes that act as lead.
    pub fn leads(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|host| self.hosts[*host].is_leading()).collect()
    }

    /// Returns a box, counted from the newest lead.
    pub fn host(&self, pick: usize) -> usize {
        let token = |host: &usize| self.hosts[*host].session.as_ref().map(|lead| lead.token);
        let newest = self.leads().into_iter().max_by_key(token).unwrap_or(0);
        (newest + pick) % self.hosts.len()
    }

    /// Returns a worker, counted from those that run something.
    pub fn worker(&self, pick: usize) -> usize {
        let mut indices: Vec<usize> = (0..self.workers.len()).collect();
        indices.sort_by_key(|index| self.workers[*index].runs.is_empty());
        indices[pick % indices.len()]
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        let workers = self.workers.len();
        for paths in &mut self.paths {
            *paths = HostPaths { workers: vec![Path::default(); workers], ..HostPaths::default() };
        }
        for host in &mut self.hosts {
            host.frozen_until = self.now;
            host.watch.note_reachable(false);
        }
        for worker in &mut self.workers {
            worker.unlisted = false;
            worker.resize(self.capacity, self.now);
        }
        for host in 0..self.hosts.len() {
            self.note_fault(host);
        }
    }

    /// Runs until all recorded jobs have ended or `limit` has passed, and ends all runs that can complete with `Done`.
    /// Returns the jobs that have not ended.
    pub fn settle(&mut self, limit: TimeSpan) -> Vec<JobId> {
        let end = self.now.after(limit);
        while self.now < end && !self.open_jobs().is_empty() {
            self.run(TimeSpan(600), TimeSpan(30));
            self.expire_leases();
            let next_run = |world: &World| {
                let mut runs = world.all_runs().into_iter();
                runs.find(|(_, task)| world.can_complete(task))
            };
            while let Some((index, task)) = next_run(self) {
                self.end(index, task, RunEnd::Done);
            }
        }
        self.open_jobs()
    }

    fn open_jobs(&self) -> Vec<JobId> {
        let mut open = BTreeSet::new();
        let mut ended = BTreeSet::new();
        let rows = self.store.newest(PROGRESS).into_iter().chain(self.store.newest(JOBS));
        for row in rows {
            let Ok((id, record)) = CellRecord::decode(&row.key, &row.value) else { continue };
            match record {
                CellRecord::Progress(progress) if progress.state.is_final() => {
                    assert!(
                        progress.state != JobState::Cancelled,
                        "{id} ends as cancelled, but nobody cancelled it"
                    );
                    ended.insert(id);
                }
                _ => {
                    open.insert(id);
                }
            }
        }
        open.difference(&ended).copied().collect()
    }
}

/// Returns the index of the worker whose address an entry has.
fn worker_index(entry: &WorkerEntry) -> usize {
    usize::from(entry.address.port()) - 1_000
}
