//! Losses of ledger hosts in series, each after a turn that the stored record may lack.

use {
    super::{
        callers::{Caller, TURN_TOKENS},
        site::{GATEWAYS, HOSTS, Site},
    },
    futures_util::future::join_all,
    smol::{LocalExecutor, Timer},
    std::{
        collections::{BTreeMap, HashMap},
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::StoreFault,
};

/// Programs: enough that every ledger holds accounts of some of them.
const PROGRAMS: usize = 8;
/// A budget of three turns.
const TOKEN_BUDGET: u64 = 3 * TURN_TOKENS;
/// Number of times that all ledger hosts are killed.
const LOSSES: usize = 6;
/// How long turns are sent between two losses.
const ROUND: Duration = Duration::from_millis(1500);

/// The store accepts no writes, so each new owner starts from the same record.
#[test]
fn budgets_hold_when_ledger_hosts_are_killed_in_series() {
    let executor = Rc::new(LocalExecutor::new());
    let overspent: Vec<_> = smol::block_on(executor.run(async {
        let site = Rc::new(Site::start(u64::MAX).await);
        let mut caller = Caller::new(&executor, &site, u64::MAX, 0);
        for program in 0..PROGRAMS {
            caller.send_turn(0, &format!("before-{program}"), TOKEN_BUDGET).await;
        }
        site.set_store_fault(StoreFault::RejectsWrites);
        let mut tokens: HashMap<String, u64> = HashMap::new();
        for loss in 0..=LOSSES {
            let end = Instant::now() + ROUND;
            for number in (0..PROGRAMS).cycle().take_while(|_| Instant::now() < end) {
                let program = format!("program-{number}");
                let record = caller.send_turn(loss % GATEWAYS, &program, TOKEN_BUDGET).await;
                *tokens.entry(program).or_default() += record.tokens();
            }
            for host in GATEWAYS..HOSTS {
                site.kill(host);
            }
            site.set_store_fault(StoreFault::None);
            Timer::after(Duration::from_millis(50)).await;
            site.set_store_fault(StoreFault::RejectsWrites);
            (GATEWAYS..HOSTS).for_each(|host| site.start_host(host));
        }
        site.end_faults().await;
        site.wait_until_ready().await;
        for number in (0..PROGRAMS).cycle().take(5 * PROGRAMS) {
            let program = format!("program-{number}");
            let record = caller.send_turn(0, &program, TOKEN_BUDGET).await;
            *tokens.entry(program).or_default() += record.tokens();
        }
        site.stop().await;
        println!("tokens by program: {tokens:?}");
        tokens.into_iter().filter(|(_, tokens)| *tokens > TOKEN_BUDGET + TURN_TOKENS).collect()
    }));
    assert_eq!(overspent, Vec::<(String, u64)>::new());
}

/// Two outages of the store, and an owner of ledgers that is suspended from the first one to the second.
/// Times are from the start of the first outage.
struct TwoOutages {
    store_fault: StoreFault,
    suspended_at: Duration,
    first_end: Duration,
    second_start: Duration,
    resumed_at: Duration,
    second_end: Duration,
}

/// Programs: each ledger holds accounts of several.
const CONCURRENT_PROGRAMS: usize = 12;
/// A budget of ten turns.
const LONG_BUDGET: u64 = 10 * TURN_TOKENS;
/// Number of ledgers of a site.
const LEDGERS: usize = 4;

/// Runs turns of all programs at the same time, until each has got `count` or the time is over.
async fn send_turns(callers: &mut [Caller], tokens: &mut [u64], count: usize, end: Instant) {
    let programs = callers.iter_mut().zip(tokens).enumerate();
    join_all(programs.map(async |(number, (caller, tokens))| {
        let mut done = 0;
        let mut host = number;
        while done < count && Instant::now() < end {
            host += 1;
            let record =
                caller.send_turn(host % GATEWAYS, &format!("long-{number}"), LONG_BUDGET).await;
            *tokens += record.tokens();
            done += usize::from(record.is_success());
            Timer::after(Duration::from_millis(100)).await;
        }
    }))
    .await;
}

/// Returns the host that owns the ledgers with the most accounts, by the records in the store.
fn main_ledger_host(site: &Site) -> usize {
    let mut accounts_of: BTreeMap<usize, usize> = BTreeMap::new();
    for ledger in 0..LEDGERS {
        let record = site.store.spec("trefoil-ledgers", &format!("ledger-{ledger}"));
        let Some(record) = record else { continue };
        let accounts = record["accounts"].as_object().map_or(0, |accounts| accounts.len());
        let writer = record["writer"].as_str().expect("a writer");
        let host = writer.split('@').next().and_then(|host| host.strip_prefix("host-"));
        let host = host.and_then(|number| number.parse().ok()).expect("a host of the site");
        *accounts_of.entry(host).or_default() += accounts;
    }
    let main = accounts_of.into_iter().max_by_key(|(_, accounts)| *accounts);
    main.expect("a ledger is stored").0
}

impl TwoOutages {
    /// Returns the programs that got more than their budgets allow.
    async fn overspent(&self, executor: &Rc<LocalExecutor<'static>>) -> Vec<(usize, u64)> {
        let site = Rc::new(Site::start(u64::MAX - 1).await);
        let caller = |number: usize| Caller::new(executor, &site, u64::MAX - 1, number as u64);
        let mut callers: Vec<Caller> = (0..CONCURRENT_PROGRAMS).map(caller).collect();
        let mut tokens = [0; CONCURRENT_PROGRAMS];
        let after = |wait: Duration| Instant::now() + wait;
        send_turns(&mut callers, &mut tokens, 1, after(Duration::from_secs(3))).await;
        Timer::after(Duration::from_millis(1500)).await;
        let owner = main_ledger_host(&site);
        println!("host-{owner} is suspended");
        let began = Instant::now();
        let faults = async {
            site.set_store_fault(self.store_fault);
            Timer::at(began + self.suspended_at).await;
            site.pause(owner);
            Timer::at(began + self.first_end).await;
            site.set_store_fault(StoreFault::None);
            Timer::at(began + self.second_start).await;
            site.set_store_fault(self.store_fault);
            Timer::at(began + self.resumed_at).await;
            site.resume(owner);
            Timer::at(began + self.second_end).await;
            site.set_store_fault(StoreFault::None);
        };
        let turns = async {
            Timer::after(Duration::from_millis(500)).await;
            // While the owner runs, and then while it is suspended.
            send_turns(&mut callers, &mut tokens, 1, began + self.suspended_at).await;
            Timer::at(began + self.suspended_at).await;
            send_turns(&mut callers, &mut tokens, 3, began + self.first_end).await;
            Timer::at(began + self.first_end + Duration::from_millis(500)).await;
            send_turns(&mut callers, &mut tokens, 2, began + self.second_start).await;
            Timer::at(began + self.resumed_at + Duration::from_millis(300)).await;
            let end = began + self.second_end + Duration::from_secs(3);
            send_turns(&mut callers, &mut tokens, 20, end).await;
        };
        smol::future::zip(faults, turns).await;
        site.check_processes();
        site.stop().await;
        println!("tokens by program: {tokens:?}");
        let is_over = |(_, tokens): &(usize, u64)| *tokens > LONG_BUDGET + TURN_TOKENS;
        let overspent: Vec<_> = tokens.into_iter().enumerate().filter(is_over).collect();
        if overspent.is_empty() {
            site.succeed();
        }
        overspent
    }
}

/// Guards against two owners of one ledger: the standby of a suspended owner is promoted, stores a
/// record, and then does not tell the former owner, which wakes in the next outage.
#[test]
fn budgets_hold_when_a_suspended_owner_wakes_in_a_later_outage() {
    let ms = Duration::from_millis;
    let long = TwoOutages {
        store_fault: StoreFault::Busy,
        suspended_at: ms(1300),
        first_end: ms(2200),
        second_start: ms(3600),
        resumed_at: ms(4300),
        second_end: ms(8000),
    };
    let short = TwoOutages {
        store_fault: StoreFault::ClosesConnections,
        suspended_at: ms(1000),
        first_end: ms(2000),
        second_start: ms(3300),
        resumed_at: ms(3800),
        second_end: ms(6300),
    };
    let executor = Rc::new(LocalExecutor::new());
    for outages in [long, short] {
        let overspent = smol::block_on(executor.run(outages.overspent(&executor)));
        assert_eq!(overspent, Vec::new());
    }
}
