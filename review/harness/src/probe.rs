use {
    crate::{Verdict, site::{Client, HostOptions, Record, Site, all}, workers::Workers},
    smol::{LocalExecutor, Timer}, std::{rc::Rc, time::Duration},
    trefoilring_standin::fleet::{LinkFault, StoreStandin, WorkerFault, client},
};
const KEY: &str = "key-of-the-review";
pub async fn run(executor: &Rc<LocalExecutor<'static>>, record: &Record, has_trouble: bool) -> Verdict {
    let store = Rc::new(StoreStandin::start().await.expect("a port"));
    store.put("config", "main", client::configuration(KEY));
    let w = Workers::start(executor, &store, 9, WorkerFault::Slow(Duration::from_millis(1900)), Duration::from_secs(2)).await;
    let view = store.open_view(w.proxied.clone()).await.expect("a port");
    let hosts = (0..5).map(|n| HostOptions { store: if n < 2 { view.address } else { store.address }, serves_callers: true, domain: if n < 2 { "a" } else { "b" } });
    let site = Site::start(hosts.collect()).await;
    let client = Client::new(executor);
    if has_trouble { w.set_link_fault(LinkFault::NoListener); w.reset_links(); }
    // first to strand
    all((0..6usize).map(async |n| { let id = format!("s-{n}"); let r = client::request("/look/x", &id, KEY, Duration::from_secs(3), None, "w"); let a = client.send(site.callers_address(n % 2), r, Duration::from_millis(2500)).await; record.line(&format!("{id} {:?}", a.status)); })).await;
    let before = w.counts();
    all((0..10usize).map(async |n| { let id = format!("q-{n}"); let r = client::request("/look/x", &id, KEY, Duration::from_secs(3), None, &id); let a = client.send(site.callers_address(n % 2), r, Duration::from_millis(400)).await; record.line(&format!("{id} {:?}", a.status)); })).await;
    Timer::after(Duration::from_millis(500)).await;
    let runs = w.runs().iter().filter(|r| r.request_id.starts_with("q-")).count();
    record.say(&format!("before {before:?} after {:?} runs {runs}", w.counts()));
    Verdict::Held
}
