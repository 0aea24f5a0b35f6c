//! Workers that some hosts reach through proxies. A worker that crashes is down for some seconds, and
//! refuses connections from everywhere meanwhile.

use {
    smol::{LocalExecutor, Timer},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::{
        LinkFault, LinkProxy, RecordedRequest, ReplacedAddresses, StoreStandin, WorkerFault,
        WorkerStandin,
    },
};

struct Place {
    worker: Option<Rc<WorkerStandin>>,
    proxy: LinkProxy,
}

pub struct Workers {
    store: Rc<StoreStandin>,
    fault: WorkerFault,
    down_for: Duration,
    places: RefCell<Vec<Place>>,
    /// Requests that workers ran which have ended since.
    past_runs: RefCell<Vec<RecordedRequest>>,
    crashed_at: RefCell<Vec<Instant>>,
    /// Leads hosts that use this view of the store through the proxies.
    pub proxied: ReplacedAddresses,
    link_fault: Cell<LinkFault>,
    next_id: Cell<usize>,
}

impl Workers {
    pub async fn start(
        executor: &Rc<LocalExecutor<'static>>,
        store: &Rc<StoreStandin>,
        count: usize,
        fault: WorkerFault,
        down_for: Duration,
    ) -> Rc<Self> {
        let workers = Rc::new(Self {
            store: store.clone(),
            fault,
            down_for,
            places: RefCell::default(),
            past_runs: RefCell::default(),
            crashed_at: RefCell::default(),
            proxied: ReplacedAddresses::default(),
            link_fault: Cell::default(),
            next_id: Cell::new(0),
        });
        for index in 0..count {
            let (id, place) = workers.start_one().await;
            workers.places.borrow_mut().push(place);
            executor.spawn(workers.clone().supervise(index, id)).detach();
        }
        workers
    }

    async fn start_one(&self) -> (String, Place) {
        let id = format!("w-{}", self.next_id.replace(self.next_id.get() + 1));
        let worker = WorkerStandin::start(&id).await.expect("a port");
        worker.set_fault(self.fault);
        let proxy = LinkProxy::start(worker.address).await.expect("a port");
        proxy.set_fault(self.link_fault.get());
        {
            let mut proxied = self.proxied.lock().expect("no panic");
            proxied.retain(|(from, _)| *from != worker.address);
            proxied.push((worker.address, proxy.address));
        }
        self.store.put("servers", &id, worker.entry());
        (id, Place { worker: Some(Rc::new(worker)), proxy })
    }

    async fn supervise(self: Rc<Self>, index: usize, mut id: String) {
        loop {
            let worker = self.places.borrow()[index].worker.clone().expect("it runs");
            worker.crashed().await;
            self.places.borrow_mut()[index].worker = None;
            {
                let places = self.places.borrow();
                places[index].proxy.set_fault(LinkFault::NoListener);
                places[index].proxy.reset();
            }
            self.past_runs.borrow_mut().extend(worker.runs());
            drop(worker);
            self.crashed_at.borrow_mut().push(Instant::now());
            Timer::after(self.down_for).await;
            self.store.remove("servers", &id);
            let (next, place) = self.start_one().await;
            id = next;
            self.places.borrow_mut()[index] = place;
        }
    }

    /// Sets the fault of all links between the proxied hosts and workers.
    pub fn set_link_fault(&self, fault: LinkFault) {
        self.link_fault.set(fault);
        self.places.borrow().iter().for_each(|place| place.proxy.set_fault(fault));
    }

    /// Sets the fault of the links between the proxied hosts and one worker.
    pub fn set_link_fault_of(&self, index: usize, fault: LinkFault) {
        self.places.borrow()[index].proxy.set_fault(fault);
    }

    /// Closes all connections through proxies.
    pub fn reset_links(&self) {
        self.places.borrow().iter().for_each(|place| place.proxy.reset());
    }

    /// Returns the requests that workers ran.
    pub fn runs(&self) -> Vec<RecordedRequest> {
        let mut runs = self.past_runs.borrow().clone();
        for place in self.places.borrow().iter() {
            runs.extend(place.worker.iter().flat_map(|worker| worker.runs()));
        }
        runs.sort_by_key(|run| run.started_at);
        runs
    }

    pub fn crashed_at(&self) -> Vec<Instant> {
        self.crashed_at.borrow().clone()
    }
}
