//! Random courses.

use proptest::prelude::*;
use sedgehill_cell::job::StepSpec;
use sedgehill_cell::scheduler::RunEnd;
use sedgehill_core::units::{CoreCount, ResourceSet, TimeSpan};

use super::{Path, Way, World};
use crate::fake::{job, step};

pub const HOSTS: usize = 3;
pub const WORKERS: usize = 3;
const CORES: u64 = 4;

/// Something that happens. Boxes are counted from the newest lead, workers from those that run something.
#[derive(Debug, Clone)]
pub enum Event {
    Submit {
        host: usize,
        count: u16,
        need: u64,
        gang: bool,
        /// Its first task crashes the workers that start it, so long after the start.
        crashes: Option<u64>,
    },
    /// A worker has so many cores from now on.
    Resize {
        worker: usize,
        cores: u64,
    },
    End {
        pick: usize,
        end: RunEnd,
    },
    /// The path between a box and a worker.
    WorkerPath {
        host: usize,
        worker: usize,
        path: Path,
    },
    /// The path of a box to the topic of leads, to the rest of the store, or to both.
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
    /// A box takes the lead as gone.
    Gone(usize),
    /// A box has a link to the lead, or none.
    Link {
        host: usize,
        reachable: bool,
    },
    /// A worker ends; its entry is listed for a time, and a new life comes.
    WorkerDies {
        worker: usize,
        listed: u64,
        back: u64,
        /// The next life has the same id, where workers tell when they began.
        keeps_id: bool,
    },
    Unlist {
        worker: usize,
        unlisted: bool,
    },
    /// The store removes its history.
    Forget,
    /// All paths are whole.
    Heal,
    /// Time goes on in small steps.
    Run(u64),
    /// Many seconds in larger steps.
    Quiet(u64),
}

fn way() -> impl Strategy<Value = Way> {
    prop_oneof![
        3 => Just(Way::Open),
        2 => Just(Way::Lost),
        1 => (100u64..9_000).prop_map(|by| Way::Late(TimeSpan(by))),
    ]
}

fn path() -> impl Strategy<Value = Path> {
    prop_oneof![
        2 => Just(Path::default()),
        3 => Just(Path { there: Way::Lost, back: Way::Lost }),
        3 => (way(), way()).prop_map(|(there, back)| Path { there, back }),
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
        2 => host.clone().prop_map(Event::Gone),
        1 => (host, any::<bool>()).prop_map(|(host, reachable)| Event::Link { host, reachable }),
        2 => (worker.clone(), 0u64..4_000, 0u64..3_000, prop::bool::weighted(0.7)).prop_map(
            |(worker, listed, back, keeps_id)| Event::WorkerDies { worker, listed, back, keeps_id }
        ),
        1 => (worker, any::<bool>())
            .prop_map(|(worker, unlisted)| Event::Unlist { worker, unlisted }),
        1 => Just(Event::Forget),
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
        1 => (10_000u64..150_000).prop_map(Event::Quiet),
    ]
}

/// Paths by which a lead loses touch with the store and goes on giving orders.
fn isolating() -> impl Strategy<Value = Path> {
    let cut = Path { there: Way::Lost, back: Way::Lost };
    prop_oneof![
        3 => Just(cut),
        1 => (100u64..1_500)
            .prop_map(|by| Path { there: Way::Open, back: Way::Late(TimeSpan(by)) }),
        1 => path(),
    ]
}

/// What befalls a box that has just followed a lead.
fn upset() -> impl Strategy<Value = Option<Event>> {
    prop_oneof![
        2 => Just(None),
        2 => (0usize..2, 0u64..400).prop_map(|(host, span)| Some(Event::Kill { host, span })),
        2 => Just(Some(Event::Resign(0))),
        1 => (0..HOSTS, path())
            .prop_map(|(host, path)| Some(Event::StorePath { host, leads: None, rest: Some(path) })),
        1 => (0..HOSTS, 100u64..3_000).prop_map(|(host, span)| Some(Event::Freeze { host, span })),
    ]
}

/// A worker that runs something is reached by the lead alone, perhaps late; the lead loses touch with the
/// store and is followed, something befalls its followers, and a job comes.
fn take_over() -> impl Strategy<Value = Vec<Event>> {
    let apart = prop::option::weighted(0.8, path());
    let late = prop::option::of((100u64..4_000).prop_map(|by| Way::Late(TimeSpan(by))));
    let rest = prop::option::weighted(0.7, isolating());
    let spans = (20u64..1_400, 20u64..600, 2_000u64..9_500);
    let followers = (0usize..3, upset(), prop::option::of(comes()));
    (out_of_touch(), apart, late, isolating(), rest, spans, followers).prop_map(
        |(mut events, apart, late, leads, rest, (before, between, after), followers)| {
            let (gone, upset, comes) = followers;
            let cut = Path { there: Way::Lost, back: Way::Lost };
            events.push(Event::WorkerPath { host: 1, worker: 0, path: cut });
            events.extend(apart.map(|path| Event::WorkerPath { host: 2, worker: 0, path }));
            let late = late.map(|there| Path { there, back: Way::Open });
            events.push(Event::StorePath { host: 0, leads: Some(leads), rest });
            events.push(Event::Run(before));
            events.extend(late.map(|path| Event::WorkerPath { host: 0, worker: 0, path }));
            events.extend((gone > 0).then_some(Event::Gone(gone)));
            events.push(Event::Run(between));
            events.extend(upset);
            events.extend(comes.into_iter().flatten());
            events.push(Event::Run(after));
            events
        },
    )
}

/// Perhaps the lead has been out of touch with another worker that runs something.
fn out_of_touch() -> impl Strategy<Value = Vec<Event>> {
    let cut = Path { there: Way::Lost, back: Way::Lost };
    let some = (0..WORKERS, 500u64..4_500).prop_map(move |(worker, span)| {
        vec![Event::WorkerPath { host: 0, worker, path: cut }, Event::Run(span)]
    });
    prop_oneof![2 => Just(Vec::new()), 1 => some]
}

/// A job that some box takes, a moment later.
fn comes() -> impl Strategy<Value = [Event; 2]> {
    (20u64..900, 0..HOSTS, 1u16..3).prop_map(|(span, host, count)| {
        [Event::Run(span), Event::Submit { host, count, need: 1, gang: false, crashes: None }]
    })
}

/// A course: a job or two at work, often for long, and what happens then.
pub fn scenario() -> impl Strategy<Value = Vec<Event>> {
    let some = prop_oneof![6 => event().prop_map(|event| vec![event]), 1 => take_over()];
    let begin = (1u16..4, 1u64..4, prop::option::of(10_000u64..180_000)).prop_map(
        |(count, need, quiet)| {
            let mut events = vec![
                Event::Submit { host: 0, count, need, gang: false, crashes: None },
                Event::Run(400),
            ];
            events.extend(quiet.map(Event::Quiet));
            events
        },
    );
    let rest = prop::collection::vec(some, 1..40);
    (begin, rest).prop_map(|(begin, rest)| begin.into_iter().chain(rest.concat()).collect())
}

/// Lets an event happen.
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
            world.disturb(host);
            world.paths[host].workers[worker] = path;
        }
        Event::StorePath { host, leads, rest } => {
            let host = world.host(host);
            world.disturb(host);
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
            world.disturb(host);
            world.freeze(host, TimeSpan(span));
        }
        Event::Kill { host, span } => {
            let host = world.host(host);
            world.disturb(host);
            world.kill(host, TimeSpan(span));
        }
        Event::Resign(host) => world.resign(world.host(host)),
        Event::Gone(host) => world.take_as_gone(world.host(host)),
        Event::Link { host, reachable } => world.link(world.host(host), reachable),
        Event::WorkerDies { worker, listed, back, keeps_id } => {
            let at = |span| world.now.after(TimeSpan(span));
            let (listed, back, worker) = (at(listed), at(back), world.worker(worker));
            world.die(worker, listed, back, keeps_id);
        }
        Event::Unlist { worker, unlisted } => {
            let worker = world.worker(worker);
            world.workers[worker].unlisted = unlisted;
        }
        Event::Forget => world.forget_history(),
        Event::Heal => world.heal(),
        Event::Run(span) => world.run(TimeSpan(span), TimeSpan(20)),
        Event::Quiet(span) => world.run(TimeSpan(span), TimeSpan(100)),
    }
}

/// A world before a course: a lead, and workers some of whose clocks are slow.
pub fn start_world(slow: &[bool], keeps_ids: bool) -> World {
    let slow: Vec<u64> = slow.iter().map(|slow| if *slow { 20 } else { 0 }).collect();
    let mut world = World::new(HOSTS, &slow, CORES);
    if keeps_ids {
        world.keep_ids();
    }
    world.run(TimeSpan(1_000), TimeSpan(20));
    world
}
