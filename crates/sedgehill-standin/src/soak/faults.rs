//! Injects the faults of a plan and repairs them.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::Soak;
use super::SoakProfile;
use super::plan::SoakFault;
use super::proxy::PathState;
use super::{full, limits, wide};
use crate::cell_platform::{
    AffectedLeads, CallFault, HALL_COUNT, PROGRESS_TOPIC, PathFault, hall_name,
};

/// Where many workers die at once, distance between the numbers of two of them.
const MASS_DEATH_STRIDE: usize = 3;
/// Time between the revivals of two such workers.
const REVIVAL_INTERVAL: Duration = Duration::from_millis(40);
/// Unit of the delay after which a worker that restarted under its id updates its entry in the store. Until then the entry
/// describes the earlier life.
const LISTING_DELAY_STEP: Duration = Duration::from_millis(400);
/// Number of different delays: 0 to 3 units, by the number of the worker.
const LISTING_DELAY_STEPS: usize = 4;

/// A step that ends a fault.
#[derive(Debug, Clone, PartialEq)]
pub enum Repair {
    /// Starts a box that was killed.
    StartBox(usize),
    /// Resumes the process of a paused box.
    ResumeBox(usize),
    /// Opens the path of a box to the store.
    OpenPath(usize),
    /// Lets the store answer calls again.
    RestoreStore,
    /// Ends the fault on the path to a worker.
    RestoreWorkerPath(usize),
    /// Starts the next life of a worker that died.
    ReviveWorker(usize),
    /// Starts the next life of a worker that boots. It does not answer for this time.
    EndBoot(usize, Duration),
    /// Writes the entry of a worker's current life to the store.
    ListWorker(usize),
    /// Removes the entry of a life from the store.
    UnlistLife(String),
    /// Gives a worker its usual cores.
    RestoreSize(usize),
    /// Ends the fault of appends to the store.
    RestoreAppends,
    /// Lets boxes read the progress topic again.
    ReleaseProgressReads,
    /// Takes a data hall back into use.
    TakeBackHall(usize),
    /// Ends the fault of a box's questions to the advice service.
    RestoreAdvice(usize),
}

impl Soak<'_> {
    /// Returns the number of the box that holds the lead according to the store.
    fn lead(&self) -> Option<usize> {
        let holder = self.platform.lead()?.holder;
        self.boxes.iter().position(|soak_box| soak_box.config.name == *holder.0)
    }

    /// Starts the next life of a worker that died, and lists it in the store. If it has the same id as the earlier life,
    /// the entry of that life stays at first, and the time until the caller has to list the worker is returned.
    fn revive_worker(&self, number: usize) -> Option<Duration> {
        let earlier = self.platform.workers.life_id(number);
        let next = self.platform.workers.start_next_life(number)?;
        if next == earlier {
            return Some(LISTING_DELAY_STEP * (number % LISTING_DELAY_STEPS) as u32);
        }
        self.platform.list_worker(number);
        None
    }

    /// Injects a fault, and schedules its repair in `repairs`.
    pub(super) fn inject(
        &mut self,
        fault: SoakFault,
        repairs: &mut Vec<(Instant, Repair)>,
    ) -> std::io::Result<()> {
        let after = |span: Duration| Instant::now() + span;
        if !fault.affects_advice_only() {
            self.record_fault();
        }
        match fault {
            SoakFault::Kill(number, pause) => {
                self.kill(number);
                repairs.push((after(pause), Repair::StartBox(number)));
            }
            SoakFault::KillAll(pause) => {
                for number in 0..self.boxes.len() {
                    self.kill(number);
                    repairs.push((after(pause), Repair::StartBox(number)));
                }
            }
            SoakFault::Stop(number) => self.signal(number, Signal::SIGTERM),
            SoakFault::Pause(number, span) => {
                self.signal(number, Signal::SIGSTOP);
                repairs.push((after(span), Repair::ResumeBox(number)));
            }
            SoakFault::Path(number, state, span) => {
                self.boxes[number].path.set(state);
                repairs.push((after(span), Repair::OpenPath(number)));
            }
            SoakFault::Reset(number) => self.boxes[number].path.reset(),
            SoakFault::SilenceOpen(number) => self.boxes[number].path.silence_open(),
            SoakFault::StoreSilent(span) => {
                self.platform.store.set_silent(true);
                repairs.push((after(span), Repair::RestoreStore));
            }
            SoakFault::Configure => self.configure(),
            SoakFault::Advice(number, advice_fault, span) => {
                self.platform.advice.set_fault(number + 1, Some(advice_fault));
                repairs.push((after(span), Repair::RestoreAdvice(number)));
            }
            SoakFault::KillLead(pause) => {
                let Some(number) = self.lead() else { return Ok(()) };
                self.kill(number);
                repairs.push((after(pause), Repair::StartBox(number)));
            }
            SoakFault::PauseLead(span) => {
                let Some(number) = self.lead() else { return Ok(()) };
                self.signal(number, Signal::SIGSTOP);
                repairs.push((after(span), Repair::ResumeBox(number)));
            }
            SoakFault::WorkerPath(number, path_fault, span) => {
                let newest = self.platform.lead().map_or(0, |lead| lead.token.0);
                let leads = path_fault.leads.as_of(newest);
                let path_fault = PathFault { leads, ..path_fault };
                self.platform.workers.set_path_fault(number, Some(path_fault));
                repairs.push((after(span), Repair::RestoreWorkerPath(number)));
            }
            SoakFault::WorkerDies(number, pause, listed) => {
                let life = self.platform.workers.life_id(number);
                self.platform.workers.crash(number);
                repairs.push((after(pause), Repair::ReviveWorker(number)));
                repairs.push((after(pause + listed), Repair::UnlistLife(life)));
            }
            SoakFault::WorkerBoots(number, pause, silent) => {
                self.booting.insert(number);
                self.platform.workers.crash(number);
                repairs.push((after(pause), Repair::EndBoot(number, silent)));
            }
            SoakFault::ManyDie(first, pause) => {
                let workers = self.size.workers;
                for index in 0..(workers / MASS_DEATH_STRIDE).max(1) {
                    let number = (first + index * MASS_DEATH_STRIDE) % workers;
                    self.platform.workers.crash(number);
                    let pause = pause + REVIVAL_INTERVAL * index as u32;
                    repairs.push((after(pause), Repair::ReviveWorker(number)));
                }
            }
            SoakFault::Unlisted(number, span) => {
                self.platform.unlist_worker(&self.platform.workers.life_id(number));
                repairs.push((after(span), Repair::ListWorker(number)));
            }
            SoakFault::Resize(number, cores, span) => {
                self.platform.resize_worker(number, cores);
                repairs.push((after(span), Repair::RestoreSize(number)));
            }
            SoakFault::Appends(path_fault, span) => {
                self.platform.store.set_append_fault(Some(path_fault));
                repairs.push((after(span), Repair::RestoreAppends));
            }
            SoakFault::EmptyHall(number, span) => {
                self.platform.set_hall_emptied(&hall_name(number), true);
                repairs.push((after(span), Repair::TakeBackHall(number)));
            }
            SoakFault::Forget => self.platform.store.discard_history(PROGRESS_TOPIC),
            SoakFault::ForgetAtFence(span) => {
                self.platform.store.discard_history_at_fence(PROGRESS_TOPIC);
                self.platform.store.hold_reads(Some(PROGRESS_TOPIC));
                repairs.push((after(span), Repair::ReleaseProgressReads));
            }
        }
        Ok(())
    }

    /// Writes the next version of the configuration to the store.
    fn configure(&self) {
        match self.size.profile {
            SoakProfile::Narrow => self.keys.configure(&self.platform),
            SoakProfile::Wide => {
                wide::configure(&self.platform, self.platform.next_config_version())
            }
            SoakProfile::Limits => {
                limits::configure(&self.platform, self.platform.next_config_version())
            }
            SoakProfile::Full => {
                full::configure(&self.platform, self.platform.next_config_version())
            }
        }
    }

    /// Executes one repair. It may schedule another one in `repairs`.
    pub(super) fn repair(
        &mut self,
        repair: Repair,
        repairs: &mut Vec<(Instant, Repair)>,
    ) -> std::io::Result<()> {
        if !matches!(repair, Repair::RestoreAdvice(_)) {
            self.record_fault();
        }
        match repair {
            Repair::StartBox(number) => self.start_box(number)?,
            Repair::ResumeBox(number) => self.signal(number, Signal::SIGCONT),
            Repair::OpenPath(number) => self.boxes[number].path.set(PathState::Open),
            Repair::RestoreStore => self.platform.store.set_silent(false),
            Repair::RestoreWorkerPath(number) => self.platform.workers.set_path_fault(number, None),
            Repair::EndBoot(number, silent) => {
                self.booting.remove(&number);
                let (kind, leads) = (CallFault::Lost, AffectedLeads::All);
                let path_fault = PathFault { kind, percent: 100, leads };
                self.platform.workers.set_path_fault(number, Some(path_fault));
                repairs.push((Instant::now() + silent, Repair::RestoreWorkerPath(number)));
                repairs.push((Instant::now(), Repair::ReviveWorker(number)));
            }
            Repair::ReviveWorker(number) if self.booting.contains(&number) => {}
            Repair::ReviveWorker(number) => {
                if let Some(delay) = self.revive_worker(number) {
                    repairs.push((Instant::now() + delay, Repair::ListWorker(number)));
                }
            }
            Repair::ListWorker(number) => self.platform.list_worker(number),
            Repair::UnlistLife(id) if self.platform.workers.is_alive(&id) => {}
            Repair::UnlistLife(id) => self.platform.unlist_worker(&id),
            Repair::RestoreSize(number) => self.platform.resize_worker(number, self.size.cores()),
            Repair::RestoreAppends => self.platform.store.set_append_fault(None),
            Repair::ReleaseProgressReads => self.platform.store.hold_reads(None),
            Repair::TakeBackHall(number) => {
                self.platform.set_hall_emptied(&hall_name(number), false);
            }
            Repair::RestoreAdvice(number) => self.platform.advice.set_fault(number + 1, None),
        }
        Ok(())
    }

    /// Kills the process of a box if it runs.
    fn kill(&mut self, number: usize) {
        self.kept.record_signal(number, Signal::SIGKILL.as_str());
        self.boxes[number].process = None;
    }

    /// Sends a signal to the process of a box if it runs.
    fn signal(&self, number: usize, signal: Signal) {
        if let Some(process) = &self.boxes[number].process {
            self.kept.record_signal(number, signal.as_str());
            process.signal(signal);
        }
    }

    /// Starts a box unless it runs.
    pub(super) fn start_box(&mut self, number: usize) -> std::io::Result<()> {
        let soak_box = &mut self.boxes[number];
        if soak_box.process.is_none() {
            self.kept.record_start(number);
            soak_box.process = Some(soak_box.config.start(self.directory)?);
        }
        Ok(())
    }

    /// Ends all faults, also those whose repair is not due.
    pub(super) fn repair_all(&mut self) -> std::io::Result<()> {
        self.booting.clear();
        self.platform.store.set_silent(false);
        self.platform.store.set_append_fault(None);
        self.platform.store.hold_reads(None);
        for number in 0..HALL_COUNT {
            self.platform.set_hall_emptied(&hall_name(number), false);
        }
        for number in 0..self.size.workers {
            self.platform.workers.set_path_fault(number, None);
            self.platform.workers.set_restart_delay(number, None);
            self.revive_worker(number);
            self.platform.list_worker(number);
            self.platform.resize_worker(number, self.size.cores());
        }
        for number in 0..self.boxes.len() {
            self.platform.advice.set_fault(number + 1, None);
            self.boxes[number].path.set(PathState::Open);
            self.signal(number, Signal::SIGCONT);
            self.start_box(number)?;
        }
        Ok(())
    }
}
