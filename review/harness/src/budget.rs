//! An owner of a ledger freezes in an outage of the store, and wakes in the next one.

use {
    crate::{
        Verdict,
        site::{Client, HostOptions, Record, Site, all},
    },
    smol::{LocalExecutor, Timer},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::{
        PoolOptions, StoreFault, StoreStandin, WorkerFault, WorkerPool,
        client::{self, EVENT_TOKENS, TurnHead},
    },
};

const KEY: &str = "key-of-the-review";
const GATEWAYS: usize = 3;
const STORE_HOSTS: usize = 3;
const PROGRAMS: usize = 12;
const LEDGERS: usize = 4;
/// Tokens that all turns of a program may get.
const TOKEN_BUDGET: u64 = 600;
/// The most tokens of one turn.
const TURN_TOKENS: u64 = 60;
const DEADLINE: Duration = Duration::from_secs(3);

/// The first outage of the store: at most 4.5 s.
const FIRST_OUTAGE: Duration = Duration::from_millis(2200);
/// From the start of the first outage to the freeze.
const FREEZE_AFTER: Duration = Duration::from_millis(1300);
/// The freeze of a store machine: at most 3.2 s.
const FREEZE: Duration = Duration::from_millis(3000);
/// From the end of the first outage to the start of the second one.
const CALM: Duration = Duration::from_millis(1400);
/// The second outage: at most 4.5 s.
const SECOND_OUTAGE: Duration = Duration::from_millis(4400);

struct Program {
    id: String,
    /// Tokens that the client got in all turns.
    tokens: Cell<u64>,
    is_spent: Cell<bool>,
}

struct Case<'a> {
    site: Site,
    client: Client,
    record: &'a Record,
    sent: Cell<u64>,
    programs: Vec<Program>,
    answers: RefCell<BTreeMap<String, u64>>,
}

impl Case<'_> {
    /// Runs turns of a program one after the other until `count` have succeeded, its budget is spent or
    /// the time is over. A turn that is refused is sent again, as the protocol allows.
    async fn turns(&self, number: usize, count: u64, until: Instant, pause: Duration) {
        let program = &self.programs[number];
        let mut done = 0;
        while done < count && Instant::now() < until && !program.is_spent.get() {
            let sent = self.sent.replace(self.sent.get() + 1);
            let id = format!("r-{sent}");
            let turn = TurnHead {
                program: &program.id,
                token_budget: TOKEN_BUDGET,
                turn_tokens: TURN_TOKENS,
            };
            let request = client::request("/turns/x", &id, KEY, DEADLINE, Some(&turn), "prompt");
            let gateway = (number + sent as usize) % GATEWAYS;
            let address = self.site.callers_address(gateway);
            let answer = self.client.send(address, request, DEADLINE).await;
            let events = match answer.status.is_some_and(|status| status.is_success()) {
                true => String::from_utf8_lossy(&answer.body).matches("\n\n").count() as u64,
                false => 0,
            };
            let tokens = events * EVENT_TOKENS;
            program.tokens.set(program.tokens.get() + tokens);
            let status = answer.status.map_or("none".into(), |status| status.as_u16().to_string());
            *self.answers.borrow_mut().entry(status.clone()).or_default() += 1;
            self.record.line(&format!(
                "{} turn {id} at gateway {gateway}: {status}, {tokens} tokens, {} in all",
                program.id,
                program.tokens.get()
            ));
            program.is_spent.set(status == "402");
            match answer.is_success() {
                true => {
                    done += 1;
                    Timer::after(pause).await;
                }
                false => {
                    let after = answer.retry_after().unwrap_or(Duration::from_millis(200));
                    Timer::after(after).await;
                }
            }
        }
    }

    /// Runs turns of all programs at the same time.
    async fn all_turns(&self, count: u64, until: Instant, pause: Duration) {
        all((0..PROGRAMS).map(|number| self.turns(number, count, until, pause))).await;
    }
}

pub async fn run(
    executor: &Rc<LocalExecutor<'static>>,
    record: &Record,
    has_trouble: bool,
) -> Verdict {
    let store = StoreStandin::start().await.expect("a port");
    store.put("config", "main", client::configuration(KEY));
    let options = PoolOptions {
        size: 6,
        fault: WorkerFault::None,
        restart_delay: Duration::from_millis(500),
        versions: &["v1"],
    };
    let _pool = WorkerPool::start(&store, options).await.expect("ports");
    let hosts = (0..GATEWAYS + STORE_HOSTS).map(|number| HostOptions {
        store: store.address,
        serves_callers: number < GATEWAYS,
        domain: ["a", "b", "c"][number % 3],
    });
    let case = Case {
        site: Site::start(hosts.collect()).await,
        client: Client::new(executor),
        record,
        sent: Cell::new(0),
        programs: (0..PROGRAMS)
            .map(|number| Program {
                id: format!("program-{number}"),
                tokens: Cell::new(0),
                is_spent: Cell::new(false),
            })
            .collect(),
        answers: RefCell::default(),
    };
    let pause = Duration::from_millis(100);

    // Each program begins, and its ledger's record is stored.
    case.all_turns(1, Instant::now() + DEADLINE, pause).await;
    Timer::after(Duration::from_millis(1500)).await;

    // The owner of most programs' ledgers, by the records in the store.
    let mut owned: BTreeMap<String, usize> = BTreeMap::new();
    for ledger in 0..LEDGERS {
        let Some(spec) = store.spec("trefoil-ledgers", &format!("ledger-{ledger}")) else {
            continue;
        };
        let accounts = spec["accounts"].as_object().map_or(0, |accounts| accounts.len());
        let writer = spec["writer"].as_str().unwrap_or_default();
        let host = writer.split('@').next().unwrap_or_default();
        *owned.entry(host.into()).or_default() += accounts;
    }
    let owner = owned.into_iter().max_by_key(|(_, count)| *count).expect("a ledger is stored");
    let frozen = case.site.number_of(&owner.0).expect("a host of the site");
    record.say(&format!("{} owns the ledgers of {} programs", owner.0, owner.1));

    let set_fault = |fault: StoreFault| {
        if has_trouble {
            record.line(&format!("the store: {fault:?}"));
            store.set_fault(fault);
        }
    };
    let signal = |name: &str| {
        if has_trouble {
            record.line(&format!("{}: SIG{name}", owner.0));
            case.site.signal(frozen, name);
        }
    };
    let began = Instant::now();
    let troubles = async {
        set_fault(StoreFault::Busy);
        Timer::at(began + FREEZE_AFTER).await;
        signal("STOP");
        Timer::at(began + FIRST_OUTAGE).await;
        set_fault(StoreFault::None);
        Timer::at(began + FIRST_OUTAGE + CALM).await;
        set_fault(StoreFault::Busy);
        Timer::at(began + FREEZE_AFTER + FREEZE).await;
        signal("CONT");
        Timer::at(began + FIRST_OUTAGE + CALM + SECOND_OUTAGE).await;
        set_fault(StoreFault::None);
    };
    let turns = async {
        Timer::after(Duration::from_millis(500)).await;
        case.all_turns(1, began + FREEZE_AFTER - Duration::from_millis(200), pause).await;
        // While the owner is frozen.
        Timer::at(began + FREEZE_AFTER + Duration::from_millis(100)).await;
        case.all_turns(3, began + FIRST_OUTAGE, pause).await;
        Timer::at(began + FIRST_OUTAGE + Duration::from_millis(500)).await;
        case.all_turns(2, began + FIRST_OUTAGE + CALM, pause).await;
        // After it woke.
        Timer::at(began + FREEZE_AFTER + FREEZE + Duration::from_millis(300)).await;
        let end = began + FIRST_OUTAGE + CALM + SECOND_OUTAGE + Duration::from_secs(3);
        case.all_turns(20, end, pause).await;
    };
    all([Box::pin(troubles) as std::pin::Pin<Box<dyn Future<Output = ()>>>, Box::pin(turns)]).await;
    case.site.check_processes();

    let allowed = TOKEN_BUDGET + TURN_TOKENS;
    let over: Vec<&Program> =
        case.programs.iter().filter(|program| program.tokens.get() > allowed).collect();
    for program in &case.programs {
        record.say(&format!(
            "{}: {} tokens of {TOKEN_BUDGET}, at most {allowed}",
            program.id,
            program.tokens.get()
        ));
    }
    record.say(&format!("answers: {:?}", case.answers.borrow()));
    record.say(&format!("programs over their budget: {}", over.len()));
    match over.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
