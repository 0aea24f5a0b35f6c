//! Tests of the measurement helpers: ranges of figures, the comparison with recorded figures, and
//! virtual time.

use super::{
    cluster::Cluster,
    compare::differences,
    figure::{FigureKind, Figures},
    home::append_waits,
};

fn figures() -> Figures {
    let mut figures = Figures::default();
    figures.add(FigureKind::Time, "a.time", "us", "", vec![30.0, 10.0, 20.0]);
    figures.add_constant("a.count", "B", "", 100.0);
    figures
}

#[test]
fn figure_has_median_and_range() {
    let figures = figures();
    let time = &figures.all[0];
    assert_eq!((time.low, time.median, time.high, time.samples), (10.0, 20.0, 30.0, 3));
    assert_eq!(figures.get("a.count").ok(), Some(100.0));
    assert!(figures.get("no.such").is_err());
}

#[test]
fn differences_list_each_deviating_figure() {
    let row = |id: &str, median: f64| format!("| `{id}` | {median} | 0 | 0 | 1 | us | text |\n");
    let same = row("a.time", 20.0) + &row("a.count", 100.0);
    let cases = [
        ("the same", same.clone(), 0),
        ("a time within its tolerance", row("a.time", 50.0) + &row("a.count", 101.0), 0),
        ("a time outside", row("a.time", 61.0) + &row("a.count", 100.0), 1),
        ("a count outside", row("a.time", 20.0) + &row("a.count", 103.0), 1),
        ("one that is missing", row("a.time", 20.0), 1),
        ("one too many", same + &row("a.other", 1.0), 1),
        ("an empty page", String::new(), 2),
    ];
    for (name, page, expected) in cases {
        let found = differences(&page, &figures());
        assert_eq!(found.len(), expected, "{name}: {found:?}");
    }
}

#[test]
fn store_calls_grow_with_domains_not_hosts() {
    const SETTLE_S: usize = 30;
    for (hosts, domains) in [(9, 3), (18, 3), (18, 6)] {
        let mut cluster = Cluster::new(hosts, domains);
        cluster.run(SETTLE_S).expect("messages can be encoded");
        cluster.check_converged().expect("all hosts are live");
        let usage_in_one_second = cluster.run(1).expect("messages can be encoded");
        let sum = |value: fn(&super::cluster::HostUsage) -> f64| {
            usage_in_one_second.iter().map(value).sum::<f64>()
        };
        let domains = domains as f64;
        // Per second, each delegate writes its roster, reads those of the other domains and lists
        // twice.
        assert_eq!(sum(|usage| usage.writes), domains, "{hosts} hosts");
        assert_eq!(sum(|usage| usage.reads), domains * (domains - 1.0), "{hosts} hosts");
        assert_eq!(sum(|usage| usage.lists), domains * 2.0, "{hosts} hosts");
    }
}

#[test]
fn append_wait_grows_when_journal_writes_are_slow() {
    let p95 = |writes_per_s| {
        let waits = append_waits(writes_per_s, 11.0).expect("appends become durable");
        waits[waits.len() * 95 / 100]
    };
    let (slow, fast) = (p95(0.7), p95(50.0));
    assert!(slow > 1.0, "{slow} s at 0.7 writes a second");
    assert!(fast < 0.05, "{fast} s at 50 writes a second");
}
