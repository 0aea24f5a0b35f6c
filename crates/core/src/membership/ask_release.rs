//! Removal of hosts whose leases another delegate may have let go on without the store.

use {
    super::{
        Ask, Body, Duty, Guard, Membership, ROSTER_PREFIX, Roster, StoreOp, follower::encode,
        freeze::may_remove, options::Rule, store::Purpose,
    },
    crate::ids::{DomainId, Member},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// A domain, or the inherited part of the own one, whose hosts have been silent for long enough.
#[derive(Clone, Debug)]
pub(super) struct Stale {
    pub domain: DomainId,
    /// Beat of the roster for which releases count.
    pub beat: u64,
    /// Guards of each delegate that may have let the leases go on.
    pub sets: Vec<Vec<Guard>>,
}

impl Membership {
    /// Asks the guards that have not released yet. One of them may be this process.
    pub(super) fn ask_releases(&mut self, now: Instant, stale: &Stale) {
        let Duty::Delegate(delegate) = &self.duty else { return };
        let released: BTreeSet<Member> = delegate.releases(&stale.domain, stale.beat);
        let open: BTreeMap<Member, String> = stale
            .sets
            .iter()
            .flatten()
            .filter(|guard| !released.contains(&guard.member))
            .map(|guard| (guard.member.clone(), guard.address.clone()))
            .collect();
        for (guard, address) in open {
            if guard.host == self.me.member.host {
                self.release_here(now, stale, guard);
                continue;
            }
            let ask = Ask::Release {
                domain: stale.domain.clone(),
                beat: stale.beat,
                guard: guard.clone(),
            };
            self.send(&guard.host, &address, Body::Ask(ask));
        }
    }

    fn release_here(&mut self, now: Instant, stale: &Stale, guard: Member) {
        if !self.release(now, &stale.domain, stale.beat, &guard) {
            return;
        }
        if let Duty::Delegate(delegate) = &mut self.duty {
            delegate.note_release(stale.domain.clone(), stale.beat, guard);
        }
    }

    /// Empties the roster of a domain that is gone. The condition on the version makes sure that
    /// nobody has written it since it was judged.
    pub(super) fn clear_if_released(&mut self, now: Instant, stale: &Stale) {
        let Duty::Delegate(delegate) = &self.duty else { return };
        let Some(other) = delegate.others.get(&stale.domain) else { return };
        let released = delegate.releases(&stale.domain, stale.beat);
        let is_released = may_remove(&stale.sets, &released);
        if !is_released && self.options.has(Rule::Release) {
            return;
        }
        let roster = Roster {
            domain: stale.domain.clone(),
            writer: self.me.member.clone(),
            writer_address: self.me.address.clone(),
            beat: other.roster.beat + 1,
            hosts: BTreeMap::new(),
            guards: Vec::new(),
            former_guards: Vec::new(),
            seen: BTreeMap::new(),
        };
        let op = StoreOp::Write {
            key: format!("{ROSTER_PREFIX}{}", stale.domain),
            if_version: other.version,
            bytes: encode(&roster),
        };
        self.operate(now, Purpose::Clear, op);
    }
}
