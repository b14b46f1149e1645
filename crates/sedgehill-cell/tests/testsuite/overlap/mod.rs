//! Several boxes beside each other, with the real watch, replica and scheduler, over one store and
//! workers that keep the rules of the platform. Time runs in small steps. The checks look at workers
//! alone: what runs there, and what they were told.

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
use self::paths::Mail;
pub use self::paths::{Path, Way};
use self::store::{JOBS, PROGRESS, Row, SimStore};
use self::worker::{SimWorker, WorkerCall};
use crate::fake::worker_entry;

/// What a box sent, with its life and the number of the call.
struct Asked {
    host: usize,
    life: u64,
    number: u64,
    call: Call,
}

struct Answered {
    host: usize,
    life: u64,
    number: u64,
    reply: Reply,
}

/// The paths of one box.
#[derive(Debug, Clone, Default)]
pub struct HostPaths {
    pub workers: Vec<Path>,
    /// To the topic of leads.
    pub leads: Path,
    /// To all else in the store.
    pub store: Path,
}

/// All of it.
pub struct World {
    pub now: Moment,
    pub paths: Vec<HostPaths>,
    hosts: Vec<Host>,
    pub workers: Vec<SimWorker>,
    store: SimStore,
    asked: Mail<Asked>,
    answered: Mail<Answered>,
    lives: u64,
    jobs: BTreeMap<JobId, JobRecord>,
    /// Runs that began, with where.
    pub starts: Vec<(CellTask, RunNumber, usize)>,
    done: BTreeSet<CellTask>,
    noted: BTreeSet<CellTask>,
    begun_again: HashMap<CellTask, RunNumber>,
    /// Tasks that crash the workers that start them, with how long after the start.
    crashing: HashMap<CellTask, TimeSpan>,
    /// Workers that are about to crash under a run.
    doomed: Vec<(Moment, usize, CellTask, RunNumber)>,
    /// Workers that crashed under each such task, and starts since the third by boxes in touch.
    crashes: HashMap<CellTask, usize>,
    further: HashMap<CellTask, usize>,
    /// When something last befell each box.
    disturbed: Vec<Moment>,
    /// What each worker has at first.
    capacity: ResourceSet,
    /// Workers that a task crashes start again under their ids.
    keeps_ids: bool,
    /// Single tasks run until they fail.
    pub long_running: bool,
}

impl World {
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
            asked: Mail::default(),
            answered: Mail::default(),
            lives: 0,
            jobs: BTreeMap::new(),
            starts: Vec::new(),
            done: BTreeSet::new(),
            noted: BTreeSet::new(),
            begun_again: HashMap::new(),
            crashing: HashMap::new(),
            doomed: Vec::new(),
            crashes: HashMap::new(),
            further: HashMap::new(),
            disturbed: vec![Moment(0); hosts],
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

    /// All workers tell when their lives began, and may keep their ids.
    pub fn keep_ids(&mut self) {
        self.keeps_ids = true;
        self.workers.iter_mut().for_each(SimWorker::tell_start);
    }

    fn new_life(&mut self, number: usize) -> Host {
        self.lives += 1;
        Host::new(&format!("box {number}"), self.lives, number as u64, self.now)
    }

    /// Time goes on.
    pub fn run(&mut self, span: TimeSpan, step: TimeSpan) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(step);
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.crash_doomed();
        for worker in &mut self.workers {
            worker.live(self.now);
        }
        for asked in self.asked.arrived(self.now) {
            self.carry_out(asked);
        }
        for answered in self.answered.arrived(self.now) {
            let host = &mut self.hosts[answered.host];
            if host.life == answered.life && host.back_at.is_none() {
                host.inbox.push((answered.number, answered.reply));
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
            let way = self.path(number, &call).there;
            let asked = Asked { host: number, life, number: call_number, call };
            self.asked.send(way, asked, self.now);
        }
    }

    fn path(&self, host: usize, call: &Call) -> Path {
        let paths = &self.paths[host];
        match call {
            Call::Store(call) if call.is_of_leads() => paths.leads,
            Call::Store(_) => paths.store,
            Call::Worker { to, .. } => paths.workers[place_of(to)],
        }
    }

    fn carry_out(&mut self, asked: Asked) {
        let back = self.path(asked.host, &asked.call).back;
        let Asked { host, life, number, call } = asked;
        let reply = match call {
            Call::Store(call) => {
                let now = self.now;
                let listed: Vec<WorkerEntry> =
                    self.workers.iter().flat_map(|worker| worker.listed(now)).collect();
                Reply::Store(self.store.call(call, &listed))
            }
            Call::Worker { to, token, call } => {
                let place = place_of(&to);
                let before = self.workers[place].runs.clone();
                let reply = self.workers[place].call(&to.life, token, &call, self.now);
                self.check_noted(place);
                if let WorkerCall::Start(order) = &call {
                    let known = before.get(&order.task).is_some_and(|run| run.run == order.run);
                    let there = self.workers[place].runs.get(&order.task);
                    if !known && there.is_some_and(|run| run.run == order.run) {
                        self.check_start(place, order.task, order.run);
                        self.note_crashing_start(host, place, order.task, order.run);
                    }
                }
                match reply {
                    Some(reply) => Reply::Worker(reply),
                    None => return,
                }
            }
        };
        self.answered.send(back, Answered { host, life, number, reply }, self.now);
    }

    /// Looks at a run that has just begun.
    fn check_start(&mut self, place: usize, task: CellTask, run: RunNumber) {
        self.lapse_all();
        let worker = &self.workers[place];
        assert!(worker.fits(self.now), "{} is over size", worker.entry.life);
        let runs = self.workers.iter().filter(|worker| worker.runs.contains_key(&task));
        assert_eq!(runs.count(), 1, "{task} runs twice");
        assert!(!self.noted.contains(&task), "{task} starts after its end");
        if self.done.contains(&task) {
            self.begun_again.entry(task).or_insert(run);
        }
        let again = self.starts.iter().any(|(began, number, _)| (*began, *number) == (task, run));
        assert!(!again, "run {run} of {task} begins twice");
        self.starts.push((task, run, place));
    }

    /// Looks at the ends that a worker was told are recorded.
    fn check_noted(&mut self, place: usize) {
        for end in std::mem::take(&mut self.workers[place].noted) {
            let again = self.begun_again.get(&end.task).is_some_and(|again| end.run < *again);
            assert!(!again, "{} began again, and its end is noted now", end.task);
            self.noted.insert(end.task);
        }
    }

    /// A caller hands in a job at some box: by way of the lead if that box leads.
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

    /// Ends some run.
    pub fn end_some(&mut self, pick: usize, end: RunEnd) {
        self.lapse_all();
        let runs = self.all_runs();
        if let Some((place, task)) = runs.get(pick % runs.len().max(1)) {
            self.end(*place, *task, end);
        }
    }

    fn lapse_all(&mut self) {
        for worker in &mut self.workers {
            worker.lapse(self.now);
        }
    }

    /// Ends a run. The members of a gang end together: all done, or the others broken; a gang that is not
    /// whole does no work.
    fn end(&mut self, place: usize, task: CellTask, end: RunEnd) {
        let spec = &self.jobs[&task.step.job].spec.steps[usize::from(task.step.step)];
        let (gang, count) = (spec.gang, usize::from(spec.count));
        let end = if spec.long_running { RunEnd::Failed } else { end };
        let run = self.workers[place].runs[&task].run;
        let mut members = self.all_runs();
        members.retain(|(at, member)| match gang {
            true => member.step == task.step && self.workers[*at].runs[member].run == run,
            false => *member == task,
        });
        let end = if gang && members.len() < count { RunEnd::Alone } else { end };
        for (at, member) in members {
            let own = match end {
                RunEnd::Done => RunEnd::Done,
                end if member == task => end,
                _ => RunEnd::Broken,
            };
            self.workers[at].end(member, own);
            if own == RunEnd::Done {
                self.done.insert(member);
            }
        }
    }

    fn all_runs(&self) -> Vec<(usize, CellTask)> {
        let workers = self.workers.iter().enumerate();
        workers
            .flat_map(|(place, worker)| worker.runs.keys().map(move |task| (place, *task)))
            .collect()
    }

    /// The process of a box stands still; what is sent to it waits.
    pub fn freeze(&mut self, host: usize, span: TimeSpan) {
        self.hosts[host].frozen_until = self.now.after(span);
    }

    /// The process of a box ends, and a new one begins after `span`.
    pub fn kill(&mut self, host: usize, span: TimeSpan) {
        let back = self.now.after(span);
        let host = &mut self.hosts[host];
        host.back_at = host.back_at.or(Some(back));
    }

    /// A box gives up the lead, if it has it.
    pub fn resign(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        host.resigns = host.session.is_some();
    }

    /// A box finds that nothing listens at the lead's address.
    pub fn take_as_gone(&mut self, host: usize) {
        self.hosts[host].watch.note_connection_refused();
    }

    /// A box has a link to the lead, or none.
    pub fn link(&mut self, host: usize, reachable: bool) {
        self.hosts[host].watch.note_reachable(reachable);
    }

    /// The store removes the history of its topics.
    pub fn forget_history(&mut self) {
        for topic in 0..store::TOPICS {
            self.store.forget(topic);
        }
    }

    /// Which boxes do the work of a lead.
    pub fn leads(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|host| self.hosts[*host].leads()).collect()
    }

    /// A box, counted from the newest lead.
    pub fn host(&self, pick: usize) -> usize {
        let token = |host: &usize| self.hosts[*host].session.as_ref().map(|lead| lead.token);
        let newest = self.leads().into_iter().max_by_key(token).unwrap_or(0);
        (newest + pick) % self.hosts.len()
    }

    /// A worker, counted from those that run something.
    pub fn worker(&self, pick: usize) -> usize {
        let mut places: Vec<usize> = (0..self.workers.len()).collect();
        places.sort_by_key(|place| self.workers[*place].runs.is_empty());
        places[pick % places.len()]
    }

    /// All faults are over.
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
            self.disturb(host);
        }
    }

    /// Runs on, each run ending well, until all jobs that are kept are over. Returns those that are not.
    pub fn settle(&mut self, limit: TimeSpan) -> Vec<JobId> {
        let end = self.now.after(limit);
        while self.now < end && !self.open_jobs().is_empty() {
            self.run(TimeSpan(600), TimeSpan(30));
            self.lapse_all();
            let end_well = |world: &World| {
                let mut runs = world.all_runs().into_iter();
                runs.find(|(_, task)| world.ends_well(task))
            };
            while let Some((place, task)) = end_well(self) {
                self.end(place, task, RunEnd::Done);
            }
        }
        self.open_jobs()
    }

    fn open_jobs(&self) -> Vec<JobId> {
        let mut open = BTreeSet::new();
        let mut over = BTreeSet::new();
        let rows = self.store.newest(PROGRESS).into_iter().chain(self.store.newest(JOBS));
        for row in rows {
            let Ok((id, record)) = CellRecord::decode(&row.key, &row.value) else { continue };
            match record {
                CellRecord::Progress(kept) if kept.state.is_final() => {
                    assert!(kept.state != JobState::Cancelled, "{id} was not cancelled");
                    over.insert(id);
                }
                _ => {
                    open.insert(id);
                }
            }
        }
        open.difference(&over).copied().collect()
    }
}

fn place_of(entry: &WorkerEntry) -> usize {
    usize::from(entry.address.port()) - 1_000
}
