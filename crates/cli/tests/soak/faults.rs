//! Faults injected at random, in series and at the same time.

use {
    super::{
        CONTACT,
        site::{GATEWAYS, HEALTHY, HOSTS, Site, WORKERS},
    },
    rand::{RngExt, rngs::SmallRng, seq::IndexedRandom},
    smol::Timer,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::{
        ENDLESS_PARTS, EndlessPart, LinkFault, Pace, StoreFault, WorkerFault,
    },
};

/// A fault of a host, the store, its link, or a worker.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    /// A ledger host is killed and its disk is lost.
    KillAndLoseDisk(usize),
    Start(usize),
    Stop(usize),
    Pause(usize),
    Resume(usize),
    Reload(usize),
    Store(StoreFault),
    StoreHistoryLost,
    StoreLink(LinkFault),
    StoreLinkReset,
    /// The paths of some hosts to all workers.
    WorkerLinks(LinkFault),
    WorkerLinksReset,
    WorkerKilled(usize),
    WorkerReleased {
        worker: usize,
        gives_notice: bool,
    },
    EndlessWorker(Option<(EndlessPart, Pace)>),
    Worker(usize, WorkerFault),
    /// The worker names a limit, in requests a second.
    WorkerLimit(usize, Option<f64>),
}

/// Injects faults until `end`.
pub async fn inject(site: &Rc<Site>, mut random: SmallRng, end: Instant) {
    while Instant::now() < end {
        let fault = draw(site, &mut random);
        println!("{:>6.2} s before the end: {fault:?}", (end - Instant::now()).as_secs_f64());
        apply(site, fault).await;
        site.check_processes();
        let pause_ms = random.random_range(20..600);
        Timer::after(Duration::from_millis(pause_ms)).await;
    }
}

fn draw(site: &Site, random: &mut SmallRng) -> Fault {
    let host = random.random_range(0..HOSTS);
    let worker = random.random_range(0..WORKERS);
    match random.random_range(0..19) {
        0 if host >= GATEWAYS && random.random_bool(0.3) => Fault::KillAndLoseDisk(host),
        0 | 1 if site.is_up(host) => Fault::Kill(host),
        2 if site.is_up(host) => Fault::Stop(host),
        3 if site.is_up(host) => Fault::Pause(host),
        0..=3 => Fault::Start(host),
        4 | 5 => Fault::Resume(host),
        6 => Fault::Reload(host),
        7 => Fault::Store(store_fault(random)),
        8 => Fault::StoreLink(link_fault(random)),
        9 => Fault::StoreLinkReset,
        10 => Fault::StoreHistoryLost,
        11 => Fault::WorkerKilled(worker),
        12 => Fault::WorkerReleased { worker, gives_notice: random.random() },
        13 => Fault::EndlessWorker(endless(random)),
        14 => Fault::WorkerLinks(cut(random)),
        15 => Fault::WorkerLinksReset,
        16 => {
            let limit_per_s = random.random_range(3.0..30.0);
            Fault::WorkerLimit(worker, random.random_bool(0.5).then_some(limit_per_s))
        }
        _ => Fault::Worker(worker, worker_fault(random)),
    }
}

fn endless(random: &mut SmallRng) -> Option<(EndlessPart, Pace)> {
    let part = *ENDLESS_PARTS.choose(random).expect("it is not empty");
    let pace = *[Pace::Fast, Pace::Dripped].choose(random).expect("it is not empty");
    random.random_bool(0.5).then_some((part, pace))
}

fn store_fault(random: &mut SmallRng) -> StoreFault {
    let faults = [
        StoreFault::None,
        StoreFault::None,
        StoreFault::Busy,
        StoreFault::ClosesConnections,
        StoreFault::DropsResponses,
        StoreFault::RejectsWrites,
    ];
    *faults.choose(random).expect("it is not empty")
}

fn link_fault(random: &mut SmallRng) -> LinkFault {
    let faults = [
        LinkFault::None,
        LinkFault::None,
        LinkFault::Delayed(Duration::from_millis(50)),
        LinkFault::Silent,
        LinkFault::RequestsOnly,
        LinkFault::Refused,
    ];
    *faults.choose(random).expect("it is not empty")
}

fn cut(random: &mut SmallRng) -> LinkFault {
    let faults = [LinkFault::None, LinkFault::None, LinkFault::NoListener, LinkFault::Unreachable];
    *faults.choose(random).expect("it is not empty")
}

fn worker_fault(random: &mut SmallRng) -> WorkerFault {
    let event = random.random_range(0..6);
    let faults = [
        HEALTHY,
        HEALTHY,
        HEALTHY,
        WorkerFault::RefusesAll,
        WorkerFault::RefusesNext(3),
        WorkerFault::DropsResponses,
        WorkerFault::WrongRequestId,
        WorkerFault::OmitsStamp,
        WorkerFault::CutsOnceAfter(event),
        WorkerFault::CutsOnceAndReplays(event),
        WorkerFault::InternalError,
        WorkerFault::Slow(Duration::from_millis(300)),
        WorkerFault::Slow(CONTACT),
    ];
    *faults.choose(random).expect("it is not empty")
}

async fn apply(site: &Rc<Site>, fault: Fault) {
    match fault {
        Fault::Kill(host) => site.kill(host),
        Fault::KillAndLoseDisk(host) => {
            site.kill(host);
            site.delete_data(host);
        }
        Fault::Start(host) => site.start_host(host),
        Fault::Stop(host) => site.stop_host(host).await,
        Fault::Pause(host) => site.pause(host),
        Fault::Resume(host) => site.resume(host),
        Fault::Reload(host) => site.signal(host, "HUP"),
        Fault::Store(fault) => site.set_store_fault(fault),
        Fault::StoreHistoryLost => site.store.compact(),
        Fault::StoreLink(fault) => site.set_store_link_fault(fault),
        Fault::StoreLinkReset => site.reset_store_links(),
        Fault::WorkerLinks(fault) => site.pool.set_link_fault(fault),
        Fault::WorkerLinksReset => site.pool.reset_links(),
        Fault::WorkerKilled(worker) => site.pool.kill(worker),
        Fault::WorkerReleased { worker, gives_notice } => site.pool.release(worker, gives_notice),
        Fault::EndlessWorker(trouble) => site.set_endless(trouble),
        Fault::Worker(worker, fault) => site.pool.set_fault(worker, fault),
        Fault::WorkerLimit(worker, limit_per_s) => site.pool.set_rate_limit(worker, limit_per_s),
    }
}
