//! Causes the faults of a plan and ends them.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::Soak;
use super::SoakWorld;
use super::plan::SoakFault;
use super::proxy::PathState;
use super::{full, wide};
use crate::cell_platform::{PROGRESS_TOPIC, PathFault};

/// One in so many workers dies where many do at once, and they are back so far apart.
const MANY_ONE_IN: usize = 3;
const BACK_APART: Duration = Duration::from_millis(40);
/// A worker that starts again under its id says so in the store after some of these: its entry is that of the earlier
/// life meanwhile.
const LISTED_LATER: Duration = Duration::from_millis(400);
const LISTED_STEPS: usize = 4;

/// What ends a fault again.
#[derive(Debug, Clone, PartialEq)]
pub enum Repair {
    Start(usize),
    Wake(usize),
    Open(usize),
    StoreSpeaks,
    WorkerPath(usize),
    Revive(usize),
    List(usize),
    Unlist(String),
    Size(usize),
    Appends,
    ReadProgress,
    Advice(usize),
}

impl Soak<'_> {
    /// The box that leads, as far as the store knows.
    fn lead(&self) -> Option<usize> {
        let holder = self.platform.lead()?.holder;
        self.boxes.iter().position(|one| one.site.name == *holder.0)
    }

    /// Another life begins at the address of a worker that died. One that has the id of the one before it is listed as
    /// that for a time.
    fn revive(&self, number: usize) -> Option<Duration> {
        let earlier = self.platform.workers.life_id(number);
        let next = self.platform.workers.start_next_life(number)?;
        if next == earlier {
            return Some(LISTED_LATER * (number % LISTED_STEPS) as u32);
        }
        self.platform.list_worker(number);
        None
    }

    pub(super) fn cause(
        &mut self,
        fault: SoakFault,
        repairs: &mut Vec<(Instant, Repair)>,
    ) -> std::io::Result<()> {
        let after = |span: Duration| Instant::now() + span;
        if !fault.is_of_advice() {
            self.note_fault();
        }
        match fault {
            SoakFault::Kill(number, pause) => {
                self.boxes[number].process = None;
                repairs.push((after(pause), Repair::Start(number)));
            }
            SoakFault::KillAll(pause) => {
                for number in 0..self.boxes.len() {
                    self.boxes[number].process = None;
                    repairs.push((after(pause), Repair::Start(number)));
                }
            }
            SoakFault::Stop(number) => self.signal(number, Signal::SIGTERM),
            SoakFault::Pause(number, span) => {
                self.signal(number, Signal::SIGSTOP);
                repairs.push((after(span), Repair::Wake(number)));
            }
            SoakFault::Path(number, state, span) => {
                self.boxes[number].path.set(state);
                repairs.push((after(span), Repair::Open(number)));
            }
            SoakFault::Reset(number) => self.boxes[number].path.reset(),
            SoakFault::SilenceOpen(number) => self.boxes[number].path.silence_open(),
            SoakFault::StoreSilent(span) => {
                self.platform.store.set_silent(true);
                repairs.push((after(span), Repair::StoreSpeaks));
            }
            SoakFault::Configure => self.configure(),
            SoakFault::Advice(number, trouble, span) => {
                self.platform.advice.set_fault(number + 1, Some(trouble));
                repairs.push((after(span), Repair::Advice(number)));
            }
            SoakFault::KillLead(pause) => {
                let Some(number) = self.lead() else { return Ok(()) };
                self.boxes[number].process = None;
                repairs.push((after(pause), Repair::Start(number)));
            }
            SoakFault::PauseLead(span) => {
                let Some(number) = self.lead() else { return Ok(()) };
                self.signal(number, Signal::SIGSTOP);
                repairs.push((after(span), Repair::Wake(number)));
            }
            SoakFault::WorkerPath(number, trouble, span) => {
                let newest = self.platform.lead().map_or(0, |lead| lead.token.0);
                let leads = trouble.leads.as_of(newest);
                let trouble = PathFault { leads, ..trouble };
                self.platform.workers.set_path_fault(number, Some(trouble));
                repairs.push((after(span), Repair::WorkerPath(number)));
            }
            SoakFault::WorkerDies(number, pause, listed) => {
                let gone = self.platform.workers.life_id(number);
                self.platform.workers.crash(number);
                repairs.push((after(pause), Repair::Revive(number)));
                repairs.push((after(pause + listed), Repair::Unlist(gone)));
            }
            SoakFault::ManyDie(first, pause) => {
                let workers = self.size.workers;
                for place in 0..(workers / MANY_ONE_IN).max(1) {
                    let number = (first + place * MANY_ONE_IN) % workers;
                    self.platform.workers.crash(number);
                    let pause = pause + BACK_APART * place as u32;
                    repairs.push((after(pause), Repair::Revive(number)));
                }
            }
            SoakFault::Unlisted(number, span) => {
                self.platform.unlist_worker(&self.platform.workers.life_id(number));
                repairs.push((after(span), Repair::List(number)));
            }
            SoakFault::Resize(number, cores, span) => {
                self.platform.resize_worker(number, cores);
                repairs.push((after(span), Repair::Size(number)));
            }
            SoakFault::Appends(trouble, span) => {
                self.platform.store.set_append_fault(Some(trouble));
                repairs.push((after(span), Repair::Appends));
            }
            SoakFault::Forget => self.platform.store.discard_history(PROGRESS_TOPIC),
            SoakFault::ForgetAtFence(span) => {
                self.platform.store.discard_history_at_fence(PROGRESS_TOPIC);
                self.platform.store.hold_reads(Some(PROGRESS_TOPIC));
                repairs.push((after(span), Repair::ReadProgress));
            }
        }
        Ok(())
    }

    /// Puts the next configuration into the store.
    fn configure(&self) {
        match self.size.world {
            SoakWorld::Narrow => self.keys.configure(&self.platform),
            SoakWorld::Wide => wide::configure(&self.platform, self.platform.next_config_version()),
            SoakWorld::Full => full::configure(&self.platform, self.platform.next_config_version()),
        }
    }

    pub(super) fn repair(
        &mut self,
        repair: Repair,
        repairs: &mut Vec<(Instant, Repair)>,
    ) -> std::io::Result<()> {
        if !matches!(repair, Repair::Advice(_)) {
            self.note_fault();
        }
        match repair {
            Repair::Start(number) => self.start_box(number)?,
            Repair::Wake(number) => self.signal(number, Signal::SIGCONT),
            Repair::Open(number) => self.boxes[number].path.set(PathState::Open),
            Repair::StoreSpeaks => self.platform.store.set_silent(false),
            Repair::WorkerPath(number) => self.platform.workers.set_path_fault(number, None),
            Repair::Revive(number) => {
                if let Some(later) = self.revive(number) {
                    repairs.push((Instant::now() + later, Repair::List(number)));
                }
            }
            Repair::List(number) => self.platform.list_worker(number),
            Repair::Unlist(id) if self.platform.workers.is_alive(&id) => {}
            Repair::Unlist(id) => self.platform.unlist_worker(&id),
            Repair::Size(number) => self.platform.resize_worker(number, self.size.cores()),
            Repair::Appends => self.platform.store.set_append_fault(None),
            Repair::ReadProgress => self.platform.store.hold_reads(None),
            Repair::Advice(number) => self.platform.advice.set_fault(number + 1, None),
        }
        Ok(())
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(process) = &self.boxes[number].process {
            process.signal(signal);
        }
    }

    pub(super) fn start_box(&mut self, number: usize) -> std::io::Result<()> {
        let one = &mut self.boxes[number];
        if one.process.is_none() {
            one.process = Some(one.site.start(self.directory)?);
        }
        Ok(())
    }

    /// Ends all faults.
    pub(super) fn heal(&mut self) -> std::io::Result<()> {
        self.platform.store.set_silent(false);
        self.platform.store.set_append_fault(None);
        self.platform.store.hold_reads(None);
        for number in 0..self.size.workers {
            self.platform.workers.set_path_fault(number, None);
            self.revive(number);
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
