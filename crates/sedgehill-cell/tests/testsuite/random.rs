//! Random courses of a cell: leads that are lost, workers that are cut or mute or not listed or listed wrongly, runs
//! that end in any way, orders that are carried out late, tasks that crash their workers, workers that crash by
//! themselves, that shrink and grow. The fakes panic when a task runs twice,
//! after its end, beyond a worker's size, or beyond the highest limit that its organisation has had.

use proptest::prelude::*;
use sedgehill_cell::ids::JobId;
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{RunEnd, Scheduler};
use sedgehill_core::units::{CoreCount, TimeSpan};

use crate::cases::cases;
use crate::fake::{CrashHabit, FakeCell, job, owned, step, task};

const WORKERS: u16 = 4;
const CORES: u64 = 4;
/// Organisations of the courses, with their limits in cores at first.
const ORGANISATIONS: [(&str, u64); 2] = [("large", 9), ("small", 4)];

#[derive(Debug, Clone)]
enum Step {
    Submit {
        count: u16,
        need: u64,
        gang: bool,
        chained: bool,
        owner: usize,
        /// Its first task crashes the workers that start it, mostly.
        crashes: Option<CrashHabit>,
    },
    /// A worker crashes by itself, and is back after so long.
    Crash(usize, u64),
    /// All workers crash at one moment, and are back after so long.
    CrashAll(u64),
    /// A worker has so many cores from now on.
    Resize(usize, u64),
    Cancel(u64),
    /// The limit of an organisation becomes so many cores.
    Limit(usize, u64),
    Cut(usize, bool),
    Mute(usize, bool),
    Unlist(usize, bool),
    /// The entry of a worker cannot be read, or can be again.
    Spoil(usize, bool),
    /// A worker is listed at the address of another one, or of itself.
    Misplace(usize, usize),
    /// A life ends, and another one begins at its address.
    BeginAnew(usize),
    /// A worker starts again under its id, where workers tell when they began.
    StartAgain(usize),
    End {
        pick: usize,
        end: RunEnd,
    },
    /// Turns of the lead, of 20 ms each.
    Turns(usize),
    /// The lead decides and gives orders, but records nothing.
    Unrecorded,
    /// Accounts are heard after orders that were carried out later.
    StaleAccounts,
    /// The answers to the orders of a turn are lost, and then one worker cannot be reached.
    LoseAnswers(usize),
    /// Orders that were lost are carried out now.
    CarryOutLate,
    /// The lead is lost with all that it has not recorded.
    NewLead,
}

/// Mostly none. A task crashes its workers at once or later, each time or the first times only.
fn habits() -> impl Strategy<Value = Option<CrashHabit>> {
    let runs = prop_oneof![3 => Just(usize::MAX), 1 => 1usize..4];
    let habit = (0u64..2_000, 20u64..8_000, runs).prop_map(|(after, back, runs)| CrashHabit {
        after: TimeSpan(after),
        back: TimeSpan(back),
        runs,
    });
    prop::option::weighted(0.15, habit)
}

fn steps() -> impl Strategy<Value = Step> {
    let worker = 0..usize::from(WORKERS);
    let end = prop_oneof![
        6 => Just(RunEnd::Done),
        2 => Just(RunEnd::Failed),
        1 => Just(RunEnd::Stopped),
    ];
    prop_oneof![
        4 => (1u16..5, 1u64..4, any::<bool>(), any::<bool>(), 0usize..3, habits()).prop_map(
            |(count, need, gang, chained, owner, crashes)| {
                Step::Submit { count, need, gang, chained, owner, crashes }
            }
        ),
        1 => (worker.clone(), 20u64..9_000).prop_map(|(number, back)| Step::Crash(number, back)),
        1 => (20u64..4_000).prop_map(Step::CrashAll),
        2 => (worker.clone(), 0u64..6).prop_map(|(number, cores)| Step::Resize(number, cores)),
        1 => (0usize..2, 3u64..16).prop_map(|(owner, most)| Step::Limit(owner, most)),
        1 => (0u64..12).prop_map(Step::Cancel),
        2 => (worker.clone(), any::<bool>()).prop_map(|(number, cut)| Step::Cut(number, cut)),
        2 => (worker.clone(), any::<bool>()).prop_map(|(number, mute)| Step::Mute(number, mute)),
        2 => (worker.clone(), any::<bool>()).prop_map(|(number, gone)| Step::Unlist(number, gone)),
        2 => (worker.clone(), any::<bool>()).prop_map(|(number, bad)| Step::Spoil(number, bad)),
        2 => (worker.clone(), worker.clone()).prop_map(|(number, at)| Step::Misplace(number, at)),
        1 => worker.clone().prop_map(Step::BeginAnew),
        2 => worker.prop_map(Step::StartAgain),
        6 => (0usize..16, end).prop_map(|(pick, end)| Step::End { pick, end }),
        8 => (1usize..40).prop_map(Step::Turns),
        1 => (200usize..500).prop_map(Step::Turns),
        2 => Just(Step::Unrecorded),
        2 => Just(Step::StaleAccounts),
        3 => (0..usize::from(WORKERS)).prop_map(Step::LoseAnswers),
        2 => Just(Step::CarryOutLate),
        1 => Just(Step::NewLead),
    ]
}

fn take(cell: &mut FakeCell, lead: &mut Scheduler, jobs: &mut u64, taken: Step) {
    match taken {
        Step::Submit { count, need, gang, chained, owner, crashes } => {
            if let Some(habit) = crashes {
                cell.make_crash(task(*jobs, 0, 0), habit);
            }
            let mut first = step(count, need);
            first.gang = gang;
            let mut all = vec![first];
            if chained {
                let mut second = step(2, 1);
                second.after = vec![0];
                all.push(second);
            }
            // Every other job comes through the lead, which needs no mark to start it.
            let record = match ORGANISATIONS.get(owner) {
                Some((name, most)) => owned(name, *most, job(all)),
                None => job(all),
            };
            match jobs.is_multiple_of(2) {
                true => cell.submit_led(lead, *jobs, record),
                false => cell.submit(lead, *jobs, record),
            }
            *jobs += 1;
        }
        Step::Crash(number, back) => {
            let number = cell.living(number);
            cell.crash(number, TimeSpan(back));
        }
        Step::CrashAll(back) => {
            (0..cell.workers.len()).for_each(|number| cell.crash(number, TimeSpan(back)));
        }
        Step::Resize(number, cores) => {
            let number = cell.living(number);
            cell.workers[number].entry.capacity.cores = CoreCount(cores * 1_000);
        }
        Step::Cancel(id) => cell.cancel(lead, id),
        Step::Limit(owner, most) => cell.limit(lead, ORGANISATIONS[owner].0, most),
        Step::Cut(number, cut) => cell.workers[number].cut = cut,
        Step::Mute(number, mute) => cell.workers[number].mute = mute,
        Step::Unlist(number, gone) => cell.workers[number].unlisted = gone,
        Step::Spoil(number, bad) => cell.workers[number].unreadable = bad,
        Step::Misplace(number, at) => cell.misplace(number, at),
        Step::BeginAnew(number) => cell.begin_anew(number),
        Step::StartAgain(number) if cell.keeps_ids => cell.start_again(number),
        Step::StartAgain(_) => {}
        Step::End { pick, end } => cell.end_some(pick, end),
        Step::Turns(count) => {
            cell.list(lead);
            cell.turns(lead, count);
            cell.break_gangs();
        }
        Step::Unrecorded => cell.turn_unrecorded(lead),
        Step::StaleAccounts => cell.turn_with_stale_accounts(lead),
        Step::LoseAnswers(number) => {
            cell.turn_losing_answers(lead);
            cell.workers[number].cut = true;
        }
        Step::CarryOutLate => cell.carry_out_late(),
        Step::NewLead => *lead = cell.lead(true),
    }
}

/// Plays a course in a new cell, and checks that every job ends and how.
fn play(keeps_ids: bool, course: Vec<Step>) -> Result<(), TestCaseError> {
    let mut cell = match keeps_ids {
        true => FakeCell::with_lasting_ids(WORKERS, CORES),
        false => FakeCell::new(WORKERS, CORES),
    };
    let mut lead = cell.lead(false);
    for (name, most) in ORGANISATIONS {
        cell.limit(&mut lead, name, most);
    }
    let mut jobs = 0;
    for taken in course {
        take(&mut cell, &mut lead, &mut jobs, taken);
    }
    for worker in &mut cell.workers {
        (worker.cut, worker.mute, worker.unlisted) = (false, false, false);
        (worker.unreadable, worker.shown) = (false, None);
        worker.entry.capacity.cores = CoreCount(CORES * 1_000);
    }
    // The widest gang needs twelve cores.
    for (name, _) in ORGANISATIONS {
        cell.limit(&mut lead, name, 12);
    }
    for _ in 0..60 {
        cell.list(&mut lead);
        cell.turns(&mut lead, 40);
        cell.break_gangs();
        cell.end_older_than(TimeSpan(0));
    }
    for id in 0..jobs {
        let state = cell.progress(id).state;
        prop_assert!(state.is_final(), "job {} is {:?}", JobId(id), state);
        prop_assert!(state != JobState::Cancelled || cell.was_cancelled(id));
        let given_up = state == JobState::Failed && !cell.has_failed(id);
        prop_assert!(!given_up || cell.may_be_given_up(id), "job {} is given up", JobId(id));
    }
    Ok(())
}

proptest! {
    #![proptest_config(cases(200))]

    #[test]
    fn no_course_breaks_a_rule_and_every_job_ends(
        keeps_ids in any::<bool>(),
        course in prop::collection::vec(steps(), 1..120),
    ) {
        play(keeps_ids, course)?;
    }
}

// A task may be started at most twice after three workers have crashed under it; here it is started three times.
// Workers 1 and 3 crash under the task, and their next lives are not heard, since worker 1 is cut and worker 3 is mute.
// Both runs are dropped when they have been unresolved for 20 s, so the lead knows only of the crash of worker 0 when
// it starts run 4 and does not count that start. The lead after it counts two more starts.
#[test]
fn a_task_is_started_twice_at_most_after_three_crashes_seed_0cec81e8() {
    let habit = CrashHabit { after: TimeSpan(1_161), back: TimeSpan(7_641), runs: usize::MAX };
    let course = vec![
        Step::Spoil(2, true),
        Step::Crash(0, 20),
        Step::Submit {
            count: 1,
            need: 1,
            gang: false,
            chained: false,
            owner: 0,
            crashes: Some(habit),
        },
        Step::Turns(409),
        Step::Mute(3, true),
        Step::LoseAnswers(1),
        Step::Turns(477),
        Step::Turns(487),
        Step::NewLead,
    ];
    play(true, course).unwrap();
}
