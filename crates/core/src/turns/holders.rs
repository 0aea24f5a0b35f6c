//! Ranks the hosts that store a tree.

use crate::{
    ids::{DomainId, HostId},
    rendezvous::rank,
};

/// A host that stores turns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreHost {
    /// Id of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Whether the host is about to be removed.
    pub is_leaving: bool,
}

impl AsRef<str> for StoreHost {
    fn as_ref(&self) -> &str {
        &self.host
    }
}

/// Returns the hosts by preference as holders of a tree. The first ones are in different failure
/// domains, as far as there are enough domains. Hosts that leave come last: they count only while
/// there are too few others.
pub fn rank_holders<'a>(tree: &str, hosts: &'a [StoreHost]) -> Vec<&'a StoreHost> {
    let mut domains: Vec<&DomainId> = Vec::new();
    let (mut ranked, mut others) = (Vec::new(), Vec::new());
    for host in rank(tree, hosts) {
        if host.is_leaving || domains.contains(&&host.domain) {
            others.push(host);
        } else {
            domains.push(&host.domain);
            ranked.push(host);
        }
    }
    ranked.extend(others);
    ranked.sort_by_key(|host| host.is_leaving);
    ranked
}
