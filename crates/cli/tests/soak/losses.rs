//! Losses of ledger hosts in series, each after a turn that the stored record may lack.

use {
    super::{
        callers::{Caller, TURN_TOKENS},
        site::{GATEWAYS, HOSTS, Site},
    },
    smol::{LocalExecutor, Timer},
    std::{
        collections::HashMap,
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
