//! Random scenarios of events for the simulated boxes.

use proptest::prelude::*;
use sedgehill_cell::job::StepSpec;
use sedgehill_cell::scheduler::RunEnd;
use sedgehill_core::units::{CoreCount, ResourceSet, TimeSpan};

use super::{Delivery, Path, World};
use crate::fake::{job, step};

pub const HOSTS: usize = 3;
pub const WORKERS: usize = 3;
const WORKER_CORES: u64 = 4;

/// An event of a scenario. Boxes are counted from the newest lead, workers from those that run something.
#[derive(Debug, Clone)]
pub enum Event {
    Submit {
        host: usize,
        count: u16,
        need: u64,
        gang: bool,
        /// The time in milliseconds after which the first task crashes its worker; none if it does not.
        crashes: Option<u64>,
    },
    /// The capacity of a worker changes to `cores`.
    Resize {
        worker: usize,
        cores: u64,
    },
    End {
        pick: usize,
        end: RunEnd,
    },
    /// The path between a box and a worker changes.
    WorkerPath {
        host: usize,
        worker: usize,
        path: Path,
    },
    /// The path of a box to the topic of lead records, to the rest of the store, or to both changes.
    StorePath {
        host: usize,
        leads: Option<Path>,
        rest: Option<Path>,
    },
    Freeze {
        host: usize,
        span: u64,
    },
    Kill {
        host: usize,
        span: u64,
    },
    Resign(usize),
    /// A box finds that nothing listens at the lead's address.
    ConnectionRefused(usize),
    /// A box gets or loses its connection to the lead.
    Link {
        host: usize,
        reachable: bool,
    },
    /// The life of a worker ends. Its entry stays listed for `listed` ms, and the next life starts after `back` ms.
    WorkerEnds {
        worker: usize,
        listed: u64,
        back: u64,
        /// Whether the next life has the same id, if workers report when their lives start.
        keeps_id: bool,
    },
    /// The store stops listing a worker, or lists it again.
    Unlist {
        worker: usize,
        unlisted: bool,
    },
    /// The store discards the history of its topics.
    DiscardHistory,
    /// All faults end.
    Heal,
    /// Time advances by this many milliseconds, in small steps.
    Run(u64),
    /// Time advances by this many milliseconds, in larger steps.
    RunLong(u64),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        3 => Just(Delivery::Immediate),
        2 => Just(Delivery::Lost),
        1 => (100u64..9_000).prop_map(|by| Delivery::Delayed(TimeSpan(by))),
    ]
}

fn path() -> impl Strategy<Value = Path> {
    prop_oneof![
        2 => Just(Path::default()),
        3 => Just(Path { request: Delivery::Lost, reply: Delivery::Lost }),
        3 => (delivery(), delivery()).prop_map(|(request, reply)| Path { request, reply }),
    ]
}

fn end() -> impl Strategy<Value = RunEnd> {
    prop_oneof![4 => Just(RunEnd::Done), 1 => Just(RunEnd::Failed)]
}

fn fault() -> impl Strategy<Value = Event> {
    let (host, worker) = (0..HOSTS, 0..WORKERS);
    prop_oneof![
        6 => (host.clone(), worker.clone(), path())
            .prop_map(|(host, worker, path)| Event::WorkerPath { host, worker, path }),
        6 => (host.clone(), prop::option::weighted(0.7, path()), prop::option::weighted(0.6, path()))
            .prop_map(|(host, leads, rest)| Event::StorePath { host, leads, rest }),
        2 => (host.clone(), 100u64..5_000).prop_map(|(host, span)| Event::Freeze { host, span }),
        3 => (host.clone(), 0u64..1_500).prop_map(|(host, span)| Event::Kill { host, span }),
        2 => host.clone().prop_map(Event::Resign),
        2 => host.clone().prop_map(Event::ConnectionRefused),
        1 => (host, any::<bool>()).prop_map(|(host, reachable)| Event::Link { host, reachable }),
        2 => (worker.clone(), 0u64..4_000, 0u64..3_000, prop::bool::weighted(0.7)).prop_map(
            |(worker, listed, back, keeps_id)| Event::WorkerEnds { worker, listed, back, keeps_id }
        ),
        1 => (worker, any::<bool>())
            .prop_map(|(worker, unlisted)| Event::Unlist { worker, unlisted }),
        1 => Just(Event::DiscardHistory),
        1 => Just(Event::Heal),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => (host, 1u16..4, 1u64..4, any::<bool>(), prop::option::weighted(0.3, 0u64..2_000))
            .prop_map(|(host, count, need, gang, crashes)| {
                Event::Submit { host, count, need, gang, crashes }
            }),
        1 => (0..WORKERS, 0u64..6).prop_map(|(worker, cores)| Event::Resize { worker, cores }),
        2 => (0usize..16, end()).prop_map(|(pick, end)| Event::End { pick, end }),
        9 => fault(),
        8 => (20u64..1_500).prop_map(Event::Run),
        2 => (1_500u64..8_000).prop_map(Event::Run),
        1 => (10_000u64..150_000).prop_map(Event::RunLong),
    ]
}

/// Returns a path to the store that isolates a lead while it goes on giving orders.
fn isolating_path() -> impl Strategy<Value = Path> {
    let lost_both_ways = Path { request: Delivery::Lost, reply: Delivery::Lost };
    prop_oneof![
        3 => Just(lost_both_ways),
        1 => (100u64..1_500)
            .prop_map(|by| Path { request: Delivery::Immediate, reply: Delivery::Delayed(TimeSpan(by)) }),
        1 => path(),
    ]
}

/// Returns an event that disturbs the box that has just succeeded a lead, or none.
fn follower_fault() -> impl Strategy<Value = Option<Event>> {
    prop_oneof![
        2 => Just(None),
        2 => (0usize..2, 0u64..400).prop_map(|(host, span)| Some(Event::Kill { host, span })),
        2 => Just(Some(Event::Resign(0))),
        1 => (0..HOSTS, path())
            .prop_map(|(host, path)| Some(Event::StorePath { host, leads: None, rest: Some(path) })),
        1 => (0..HOSTS, 100u64..3_000).prop_map(|(host, span)| Some(Event::Freeze { host, span })),
    ]
}

/// Returns a take-over: only the lead can reach a worker that runs something, perhaps with delay. The lead is isolated
/// from the store and succeeded by another box, its successors may have a fault, and a job may be submitted.
fn take_over() -> impl Strategy<Value = Vec<Event>> {
    let other_path = prop::option::weighted(0.8, path());
    let late = prop::option::of((100u64..4_000).prop_map(|by| Delivery::Delayed(TimeSpan(by))));
    let rest = prop::option::weighted(0.7, isolating_path());
    let spans = (20u64..1_400, 20u64..600, 2_000u64..9_500);
    let followers = (0usize..3, follower_fault(), prop::option::of(late_submission()));
    (earlier_isolation(), other_path, late, isolating_path(), rest, spans, followers).prop_map(
        |(mut events, other_path, late, leads, rest, (before, between, after), followers)| {
            let (refused, fault, submission) = followers;
            let lost_both_ways = Path { request: Delivery::Lost, reply: Delivery::Lost };
            events.push(Event::WorkerPath { host: 1, worker: 0, path: lost_both_ways });
            events.extend(other_path.map(|path| Event::WorkerPath { host: 2, worker: 0, path }));
            let late = late.map(|request| Path { request, reply: Delivery::Immediate });
            events.push(Event::StorePath { host: 0, leads: Some(leads), rest });
            events.push(Event::Run(before));
            events.extend(late.map(|path| Event::WorkerPath { host: 0, worker: 0, path }));
            events.extend((refused > 0).then_some(Event::ConnectionRefused(refused)));
            events.push(Event::Run(between));
            events.extend(fault);
            events.extend(submission.into_iter().flatten());
            events.push(Event::Run(after));
            events
        },
    )
}

/// Returns events that may isolate the lead from another worker that runs something, before the take-over.
fn earlier_isolation() -> impl Strategy<Value = Vec<Event>> {
    let lost_both_ways = Path { request: Delivery::Lost, reply: Delivery::Lost };
    let some = (0..WORKERS, 500u64..4_500).prop_map(move |(worker, span)| {
        vec![Event::WorkerPath { host: 0, worker, path: lost_both_ways }, Event::Run(span)]
    });
    prop_oneof![2 => Just(Vec::new()), 1 => some]
}

/// Returns a job that is submitted at some box a little later.
fn late_submission() -> impl Strategy<Value = [Event; 2]> {
    (20u64..900, 0..HOSTS, 1u16..3).prop_map(|(span, host, count)| {
        [Event::Run(span), Event::Submit { host, count, need: 1, gang: false, crashes: None }]
    })
}

/// Returns a scenario: a job runs, often for a long time, and up to 39 events or take-overs follow.
pub fn scenario() -> impl Strategy<Value = Vec<Event>> {
    let some = prop_oneof![6 => event().prop_map(|event| vec![event]), 1 => take_over()];
    let start = (1u16..4, 1u64..4, prop::option::of(10_000u64..180_000)).prop_map(
        |(count, need, long_run)| {
            let mut events = vec![
                Event::Submit { host: 0, count, need, gang: false, crashes: None },
                Event::Run(400),
            ];
            events.extend(long_run.map(Event::RunLong));
            events
        },
    );
    let rest = prop::collection::vec(some, 1..40);
    (start, rest).prop_map(|(start, rest)| start.into_iter().chain(rest.concat()).collect())
}

/// Applies an event to the world.
pub fn apply_event(world: &mut World, event: Event) {
    match event {
        Event::Submit { host, count, need, gang, crashes } => {
            if let Some(after) = crashes {
                world.crash_next(TimeSpan(after));
            }
            let long_running = world.long_running && !gang;
            let spec = StepSpec { gang, long_running, ..step(count, need) };
            world.submit(world.host(host), job(vec![spec]));
        }
        Event::End { pick, end } => world.end_some(pick, end),
        Event::WorkerPath { host, worker, path } => {
            let (host, worker) = (world.host(host), world.worker(worker));
            world.note_fault(host);
            world.paths[host].workers[worker] = path;
        }
        Event::StorePath { host, leads, rest } => {
            let host = world.host(host);
            world.note_fault(host);
            let paths = &mut world.paths[host];
            paths.leads = leads.unwrap_or(paths.leads);
            paths.store = rest.unwrap_or(paths.store);
        }
        Event::Resize { worker, cores } => {
            let (worker, now) = (world.worker(worker), world.now);
            let worker = &mut world.workers[worker];
            let capacity = ResourceSet { cores: CoreCount(cores * 1_000), ..worker.entry.capacity };
            worker.resize(capacity, now);
        }
        Event::Freeze { host, span } => {
            let host = world.host(host);
            world.note_fault(host);
            world.freeze(host, TimeSpan(span));
        }
        Event::Kill { host, span } => {
            let host = world.host(host);
            world.note_fault(host);
            world.kill(host, TimeSpan(span));
        }
        Event::Resign(host) => world.resign(world.host(host)),
        Event::ConnectionRefused(host) => world.refuse_connection(world.host(host)),
        Event::Link { host, reachable } => world.set_reachable(world.host(host), reachable),
        Event::WorkerEnds { worker, listed, back, keeps_id } => {
            let at = |span| world.now.after(TimeSpan(span));
            let (listed, back, worker) = (at(listed), at(back), world.worker(worker));
            world.end_life(worker, listed, back, keeps_id);
        }
        Event::Unlist { worker, unlisted } => {
            let worker = world.worker(worker);
            world.workers[worker].unlisted = unlisted;
        }
        Event::DiscardHistory => world.discard_history(),
        Event::Heal => world.heal(),
        Event::Run(span) => world.run(TimeSpan(span), TimeSpan(20)),
        Event::RunLong(span) => world.run(TimeSpan(span), TimeSpan(100)),
    }
}

/// Returns a world with a lead, in which the workers marked in `slow` have slow clocks.
pub fn start_world(slow: &[bool], keeps_ids: bool) -> World {
    let slow: Vec<u64> = slow.iter().map(|slow| if *slow { 20 } else { 0 }).collect();
    let mut world = World::new(HOSTS, &slow, WORKER_CORES);
    if keeps_ids {
        world.reuse_ids();
    }
    world.run(TimeSpan(1_000), TimeSpan(20));
    world
}
