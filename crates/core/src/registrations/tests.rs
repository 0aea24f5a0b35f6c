use {
    super::*,
    crate::store_backoff::Backoff,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::net::SocketAddr,
};

const UPSTREAM: &str = "i-1";
const MILLISECOND: Duration = Duration::from_millis(1);

fn entry(incarnation: u64, heartbeat: u64, is_leaving: bool) -> UpstreamEntry {
    entry_of(UPSTREAM, incarnation, heartbeat, is_leaving)
}

fn entry_of(id: &str, incarnation: u64, heartbeat: u64, is_leaving: bool) -> UpstreamEntry {
    let record = UpstreamRecord {
        id: id.into(),
        service: "work".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: "a".into(),
        version: "v1".into(),
        slots: 4,
        is_leaving,
        cold_left: None,
        incarnation: Some(incarnation),
    };
    UpstreamEntry { record, heartbeat: Some(heartbeat) }
}

/// Returns whether an entry makes its upstream usable.
fn is_used(decision: &EntryDecision) -> bool {
    matches!(decision, EntryDecision::Apply(record) if !record.is_leaving)
}

#[test]
fn older_heartbeat_does_not_undo_a_notice() {
    let (now, mut registrations) = (Instant::now(), Registrations::default());
    assert!(is_used(&registrations.on_entry(now, entry(1, 40, false))));
    assert!(!is_used(&registrations.on_entry(now, entry(1, 41, true))));
    assert_eq!(registrations.on_entry(now, entry(1, 39, false)), EntryDecision::Outdated);
    // Nor does a later one: the process leaves until its end.
    assert!(!is_used(&registrations.on_entry(now, entry(1, 42, false))));
    assert!(is_used(&registrations.on_entry(now, entry(2, 1, false))));
    assert_eq!(registrations.on_entry(now, entry(1, 43, false)), EntryDecision::Outdated);
}

#[test]
fn notice_holds_after_the_entry_was_gone() {
    let (now, id) = (Instant::now(), UpstreamId::from(UPSTREAM));
    for is_told_by_entry in [true, false] {
        let mut registrations = Registrations::default();
        registrations.on_entry(now, entry(1, 40, false));
        if is_told_by_entry {
            registrations.on_entry(now, entry(1, 41, true));
        } else {
            assert!(registrations.on_leaving(now, &id, Some(1)));
        }
        let ids = std::slice::from_ref(&id);
        let delisting = registrations.on_delisted(now, ids, Duration::ZERO);
        assert_eq!(delisting.removed, ids);
        assert!(!is_used(&registrations.on_entry(now, entry(1, 42, false))));
        assert!(is_used(&registrations.on_entry(now, entry(2, 1, false))));
    }
}

#[test]
fn notice_of_another_host_holds_for_an_entry_that_comes_later() {
    let (now, id) = (Instant::now(), UpstreamId::from(UPSTREAM));
    let mut registrations = Registrations::default();
    assert!(registrations.on_leaving(now, &id, Some(7)));
    assert!(!registrations.on_leaving(now, &id, Some(7)));
    assert!(!is_used(&registrations.on_entry(now, entry(7, 3, false))));
    // A late notice of the former process does not concern the new one.
    assert!(is_used(&registrations.on_entry(now, entry(8, 1, false))));
    assert!(!registrations.on_leaving(now, &id, Some(7)));
    assert!(is_used(&registrations.on_entry(now, entry(8, 2, false))));
}

#[test]
fn late_heartbeat_does_not_bring_a_removed_upstream_back() {
    let (now, id) = (Instant::now(), UpstreamId::from(UPSTREAM));
    let mut registrations = Registrations::default();
    registrations.on_entry(now, entry(1, 40, false));
    registrations.on_delisted(now, &[id], Duration::ZERO);
    assert_eq!(registrations.on_entry(now, entry(1, 39, false)), EntryDecision::Outdated);
    // Its entry had lapsed, and it registers again.
    assert!(is_used(&registrations.on_entry(now, entry(1, 41, false))));
}

#[test]
fn entry_without_the_start_of_its_process_is_used_whatever_its_heartbeat() {
    let (now, mut registrations) = (Instant::now(), Registrations::default());
    let unnamed = |heartbeat, is_leaving| {
        let UpstreamEntry { mut record, .. } = entry(0, 0, is_leaving);
        record.incarnation = None;
        UpstreamEntry { record, heartbeat: Some(heartbeat) }
    };
    assert!(is_used(&registrations.on_entry(now, unnamed(40, false))));
    assert!(is_used(&registrations.on_entry(now, unnamed(1, false))));
    assert!(!is_used(&registrations.on_entry(now, unnamed(2, true))));
    assert!(!is_used(&registrations.on_entry(now, unnamed(3, false))));
    registrations.on_delisted(now, &[UPSTREAM.into()], Duration::ZERO);
    assert!(is_used(&registrations.on_entry(now, unnamed(1, false))));
}

/// Returns registrations with one upstream, after an outage of 9 s that ended at the returned time.
fn after_outage() -> (Registrations, Instant) {
    let (start, mut registrations) = (Instant::now(), Registrations::default());
    registrations.on_entry(start, entry(1, 1, false));
    let end = start + Duration::from_secs(9);
    registrations.record_store_failure(start, start);
    registrations.record_store_failure(end - MILLISECOND, end - 100 * MILLISECOND);
    registrations.record_store_success(end);
    (registrations, end)
}

#[test]
fn upstream_missing_after_an_outage_is_removed_although_the_store_fails_again() {
    let (mut registrations, end) = after_outage();
    let delisting = registrations.on_delisted(end, &[UPSTREAM.into()], Duration::ZERO);
    let [(_, until)] = delisting.missing[..] else { panic!("{delisting:?}") };
    // The store refuses the calls around that time.
    registrations.record_store_failure(until - MILLISECOND, until - MILLISECOND);
    assert_eq!(registrations.next_removal(until), Some(until));
    assert_eq!(registrations.take_overdue(until), [UpstreamId::from(UPSTREAM)]);
}

#[test]
fn upstream_that_returns_in_time_stays() {
    let (mut registrations, end) = after_outage();
    registrations.on_delisted(end, &[UPSTREAM.into()], Duration::ZERO);
    assert_eq!(registrations.missing_count(), 1);
    assert!(is_used(&registrations.on_entry(end + MILLISECOND, entry(1, 9, false))));
    assert_eq!(registrations.take_overdue(end + Duration::from_secs(60)), []);
}

#[test]
fn missing_upstreams_stay_in_a_second_long_outage() {
    let (mut registrations, end) = after_outage();
    registrations.on_delisted(end, &[UPSTREAM.into()], Duration::ZERO);
    let second = end + Duration::from_secs(1);
    registrations.record_store_failure(second, second);
    let in_outage = second + Duration::from_secs(5);
    registrations.record_store_failure(in_outage, in_outage);
    assert_eq!(registrations.next_removal(in_outage), None);
    assert_eq!(registrations.take_overdue(in_outage), []);
    let ended = in_outage + 100 * MILLISECOND;
    registrations.record_store_success(ended);
    let removal = registrations.next_removal(ended).expect("a time");
    assert!(removal >= ended + Duration::from_secs(2), "its entry lapsed in the second outage");
    assert_eq!(registrations.take_overdue(removal).len(), 1);
}

#[test]
fn unreadable_entry_names_no_upstream_and_keeps_what_is_known() {
    let (now, mut registrations) = (Instant::now(), Registrations::default());
    registrations.on_entry(now, entry(5, 40, true));
    registrations.on_unreadable(now, UPSTREAM);
    assert_eq!(registrations.unlisted(&HashSet::new()), Vec::<UpstreamId>::new());
    assert!(!is_used(&registrations.on_entry(now, entry(5, 41, false))));
}

#[test]
fn absent_upstreams_take_bounded_memory() {
    let (now, mut registrations) = (Instant::now(), Registrations::default());
    for number in 0..3 * ABSENT_MAX as u64 {
        let at = now + MILLISECOND * number as u32;
        let id: UpstreamId = format!("i-{number}").into();
        registrations.on_entry(at, entry_of(&id, 1, 1, false));
        registrations.on_delisted(at, &[id], Duration::ZERO);
    }
    assert!(registrations.upstreams.len() <= ABSENT_MAX);
    let last = format!("i-{}", 3 * ABSENT_MAX as u64 - 1);
    assert!(registrations.upstreams.contains_key(&*last), "the latest are kept");
}

/// Guards against work for an upstream that leaves, in the time in which others may return.
#[test]
fn leaving_upstream_that_is_delisted_after_an_outage_gets_no_time_to_return() {
    let (mut registrations, end) = after_outage();
    let id = UpstreamId::from(UPSTREAM);
    assert!(registrations.on_leaving(end, &id, Some(1)));
    let ids = std::slice::from_ref(&id);
    let delisting = registrations.on_delisted(end, ids, Duration::ZERO);
    assert_eq!(delisting, Delisting { removed: ids.to_vec(), missing: Vec::new() });
    assert_eq!(registrations.next_removal(end), None);
}

/// Guards against a time to return that each listing sets anew: it ends early where the others of a mass
/// delisting have returned, and late where they are listed again and again.
#[test]
fn time_to_return_is_not_changed_by_later_listings() {
    let (now, mut registrations) = (Instant::now(), Registrations::default());
    let ids: Vec<UpstreamId> = (1..=3).map(|number| format!("i-{number}").into()).collect();
    for id in &ids {
        registrations.on_entry(now, entry_of(id, 1, 1, false));
    }
    let delisting = registrations.on_delisted(now, &ids, Duration::ZERO);
    let until = delisting.missing[0].1;
    assert!(until > now && delisting.missing.len() == 3);
    let later = now + (until - now) / 2;
    registrations.on_entry(later, entry_of(&ids[1], 1, 2, false));
    registrations.on_entry(later, entry_of(&ids[2], 1, 2, false));
    let alone = registrations.on_delisted(later, &ids[..1], Duration::ZERO);
    assert_eq!(alone, Delisting::default(), "it may return until the time that it was given");
    assert_eq!(registrations.next_removal(later), Some(until));
    // All are delisted together once more, when the time of the first is over.
    let together = registrations.on_delisted(until, &ids, Duration::ZERO);
    assert_eq!(together.removed, ids[..1]);
    assert_eq!(together.missing.len(), 2);
}

/// Guards against a late heartbeat that takes effect since an entry without a number came between.
#[test]
fn greatest_heartbeat_is_remembered_over_entries_without_one() {
    let (now, mut registrations) = (Instant::now(), Registrations::default());
    registrations.on_entry(now, entry(1, 41, false));
    let unnumbered = UpstreamEntry { heartbeat: None, ..entry(1, 0, false) };
    assert!(is_used(&registrations.on_entry(now, unnumbered)));
    assert_eq!(registrations.on_entry(now, entry(1, 39, false)), EntryDecision::Outdated);
    assert!(is_used(&registrations.on_entry(now, entry(1, 42, false))));
}

/// Guards against the return of an upstream that has left a moment ago, because many others are absent.
#[test]
fn upstreams_that_have_been_absent_for_longest_are_forgotten_first() {
    let (now, mut registrations) = (Instant::now(), Registrations::default());
    let id = |number: u64| UpstreamId::from(format!("i-{number}"));
    for number in 0..=ABSENT_MAX as u64 {
        let at = now + MILLISECOND * number as u32;
        assert!(registrations.on_leaving(at, &id(number), Some(1)));
    }
    let end = now + MILLISECOND * (ABSENT_MAX as u32 + 1);
    assert!(registrations.upstreams.len() <= ABSENT_MAX);
    let mut returns =
        |number| is_used(&registrations.on_entry(end, entry_of(&id(number), 1, 1, false)));
    assert!(!returns(ABSENT_MAX as u64) && !returns(ABSENT_MAX as u64 - 100));
    assert!(returns(0), "the oldest is forgotten");
}

/// An upstream of the model, as the store and the upstream itself know it.
#[derive(Clone, Default)]
struct ModelUpstream {
    incarnation: u64,
    heartbeat: u64,
    /// When the store accepted the notice or the removal of the process.
    left_at: Option<Instant>,
    /// Whether the entry has lapsed in an outage.
    has_lapsed: bool,
    /// Heartbeats that the store accepts late: when, and the entry.
    late: Vec<(Instant, UpstreamEntry)>,
}

/// A host that reads the store in virtual time, with a store that is away for it or for all, loses
/// its history, and accepts heartbeats late.
struct Model {
    rng: StdRng,
    now: Instant,
    upstreams: Vec<ModelUpstream>,
    /// Entries in the store.
    entries: BTreeMap<UpstreamId, UpstreamEntry>,
    /// What the host has read last.
    seen: BTreeMap<UpstreamId, UpstreamEntry>,
    registrations: Registrations,
    used: HashSet<UpstreamId>,
    /// End of the current outage for the host, or of the last one.
    away_until: Instant,
    next_call_at: Instant,
    backoff: Backoff,
}

const STEP: Duration = Duration::from_millis(20);
/// Time after an outage from which a host must act on all that the store says.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);
/// Time after a notice within which its upstream must get no more requests.
const DRAIN: Duration = Duration::from_secs(2);
/// Interval at which a host's watch returns without changes.
const WATCH_WAIT: Duration = Duration::from_millis(1800);

impl Model {
    fn new(seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(60);
        let mut model = Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            upstreams: vec![ModelUpstream::default(); 8],
            entries: BTreeMap::new(),
            seen: BTreeMap::new(),
            registrations: Registrations::default(),
            used: HashSet::new(),
            away_until: now - Duration::from_secs(30),
            next_call_at: now,
            backoff: Backoff::default(),
        };
        for number in 0..model.upstreams.len() {
            model.restart(number);
        }
        model
    }

    fn id(number: usize) -> UpstreamId {
        format!("i-{number}").into()
    }

    fn restart(&mut self, number: usize) {
        let incarnation = self.upstreams[number].incarnation + 1;
        let late = std::mem::take(&mut self.upstreams[number].late);
        self.upstreams[number] =
            ModelUpstream { incarnation, heartbeat: 1, late, ..ModelUpstream::default() };
        self.entries.insert(Self::id(number), entry_of(&Self::id(number), incarnation, 1, false));
    }

    fn leave(&mut self, number: usize) {
        let (id, upstream, rng) = (Self::id(number), &mut self.upstreams[number], &mut self.rng);
        if upstream.left_at.is_some() || upstream.has_lapsed {
            return;
        }
        upstream.heartbeat += 2;
        if rng.random_bool(0.4) {
            // A heartbeat that the store accepts after the notice.
            let heartbeat = upstream.heartbeat - 1;
            let at = self.now + MILLISECOND * rng.random_range(100..6000);
            let late = entry_of(&id, upstream.incarnation, heartbeat, false);
            upstream.late.push((at, late));
        }
        upstream.left_at = Some(self.now);
        if rng.random_bool(0.5) {
            // A host can't tell such a heartbeat from a return.
            upstream.late.clear();
            self.entries.remove(&id);
        } else {
            let entry = entry_of(&id, upstream.incarnation, upstream.heartbeat, true);
            self.entries.insert(id, entry);
        }
    }

    /// The store or another writer changes what is in the store.
    fn change_store(&mut self, is_away_for_all: bool) {
        for number in 0..self.upstreams.len() {
            if self.rng.random_bool(0.002) && !is_away_for_all {
                self.leave(number);
            }
            let id = Self::id(number);
            let upstream = &mut self.upstreams[number];
            let now = self.now;
            let due = upstream.late.extract_if(.., |(at, _)| *at <= now).last();
            // A host that has not seen the notice can't know that the entry is older.
            let incarnation = Some(upstream.incarnation);
            let has_seen_notice =
                self.seen.get(&id).is_some_and(|UpstreamEntry { record, .. }| {
                    record.is_leaving && record.incarnation == incarnation
                });
            if let Some((_, late)) = due
                && has_seen_notice
            {
                self.entries.insert(id.clone(), late);
            }
            let gone_for = upstream.left_at.map(|at| self.now.duration_since(at));
            if gone_for.is_some_and(|gone_for| gone_for > Duration::from_secs(15)) {
                self.entries.remove(&id);
                self.restart(number);
            }
        }
    }

    fn read_store(&mut self, sent_at: Instant) {
        let now = self.now;
        if now < self.away_until {
            self.registrations.record_store_failure(now, sent_at);
            let jitter = self.rng.random();
            self.next_call_at = now + self.backoff.after_failure(jitter);
            return;
        }
        self.backoff = Backoff::default();
        self.registrations.record_store_success(now);
        let is_listing = self.rng.random_bool(0.2);
        let entries: Vec<UpstreamEntry> = self.entries.values().cloned().collect();
        for entry in entries {
            let id = entry.record.id.clone();
            if !is_listing && self.seen.get(&id) == Some(&entry) {
                continue;
            }
            match self.registrations.on_entry(now, entry) {
                EntryDecision::Apply(record) if record.is_leaving => self.used.remove(&id),
                EntryDecision::Apply(_) => self.used.insert(id),
                EntryDecision::Outdated => false,
            };
        }
        let listed: HashSet<&str> = self.entries.keys().map(|id| &**id).collect();
        let gone = self.registrations.unlisted(&listed);
        for id in self.registrations.on_delisted(now, &gone, Duration::ZERO).removed {
            self.used.remove(&id);
        }
        self.seen = self.entries.clone();
        self.next_call_at = now;
    }

    fn run(&mut self, seed: u64) {
        let (mut is_away_for_all, mut polled_at) = (false, self.now);
        let mut outage_began_at = self.now;
        for _ in 0..3000 {
            self.now += STEP;
            let now = self.now;
            if now >= self.away_until && is_away_for_all {
                is_away_for_all = false;
            }
            if now > self.away_until + Duration::from_secs(8) && self.rng.random_bool(0.01) {
                is_away_for_all = self.rng.random_bool(0.5);
                let length_ms = self.rng.random_range(300..9000);
                self.away_until = now + MILLISECOND * length_ms;
                outage_began_at = now;
            }
            let has_expired = is_away_for_all
                && now.duration_since(outage_began_at) > Duration::from_millis(3600);
            for number in 0..self.upstreams.len() {
                let id = Self::id(number);
                let upstream = &mut self.upstreams[number];
                if has_expired && upstream.left_at.is_none() && !upstream.has_lapsed {
                    upstream.has_lapsed = true;
                    self.entries.remove(&id);
                }
                let is_back = now > self.away_until + MILLISECOND * (200 * number as u32);
                if upstream.has_lapsed && is_back {
                    upstream.has_lapsed = false;
                    upstream.heartbeat += 1;
                    let (incarnation, heartbeat) = (upstream.incarnation, upstream.heartbeat);
                    self.entries.insert(id.clone(), entry_of(&id, incarnation, heartbeat, false));
                }
            }
            self.change_store(is_away_for_all);
            for id in self.registrations.take_overdue(now) {
                self.used.remove(&id);
            }
            // A watch returns at once when something changes, unless the store is away.
            let has_changed = self.seen != self.entries && now >= self.away_until;
            let is_polled = now.duration_since(polled_at) >= WATCH_WAIT;
            if now >= self.next_call_at && (has_changed || is_polled || now < self.away_until) {
                polled_at = now;
                let took_ms = self.rng.random_range(0..20);
                self.read_store(now - MILLISECOND * took_ms);
            }
            self.check(seed);
        }
    }

    fn check(&self, seed: u64) {
        let is_in_touch = self.now >= self.away_until + IN_TOUCH_AFTER;
        if !is_in_touch {
            return;
        }
        for (number, upstream) in self.upstreams.iter().enumerate() {
            let id = Self::id(number);
            let is_used = self.used.contains(&id);
            match upstream.left_at {
                Some(left_at) => {
                    let late = self.now.duration_since(left_at);
                    assert!(!is_used || late <= DRAIN, "seed {seed}: {id} is used after {late:?}");
                }
                None => assert!(
                    is_used || self.now < self.away_until + IN_TOUCH_AFTER + WATCH_WAIT,
                    "seed {seed}: {id} lives and is not used"
                ),
            }
        }
    }
}

#[test]
fn hosts_in_touch_use_no_upstream_that_left_and_all_that_live() {
    for seed in 0..120 {
        Model::new(seed).run(seed);
    }
}
