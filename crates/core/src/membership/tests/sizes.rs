//! Message sizes in a cluster of the size that the system is designed for. `--nocapture` prints the
//! figures of decision 0001 (`docs/decisions/0001-membership-and-leases.md`).

use {
    super::super::{
        Body, Guard, Heartbeat, HeartbeatReply, HostEntry, HostState, Message, OwnedJournal,
        Roster, follower::encode, view::View,
    },
    crate::ids::Member,
    std::time::Instant,
};

const HOSTS: usize = 350;
const DOMAINS: usize = 11;
/// Limit of a host's control traffic, in bytes per second.
const CONTROL_BYTES_PER_S_MAX: usize = 3_000;

fn member(number: usize) -> Member {
    Member { host: format!("entry-{number:03}").as_str().into(), incarnation: 1_796_000_000_000 }
}

fn entry(number: usize) -> HostEntry {
    let journal =
        OwnedJournal { journal: format!("entry-{number:03}-k3x9").as_str().into(), epoch: 7 };
    HostEntry {
        member: member(number),
        address: format!("10.20.{}.{}:7400", number / 250, number % 250),
        domain: format!("zone-{:02}", number % DOMAINS).as_str().into(),
        state: HostState::Live,
        journals: vec![journal],
        config: 12_345,
        added_revision: 1_000_000,
        is_settled: true,
        is_inherited: false,
    }
}

fn roster(domain: usize) -> Roster {
    let guard = |number| Guard { member: member(number), address: entry(number).address };
    let hosts = (domain..HOSTS).step_by(DOMAINS).map(|number| (member(number).host, entry(number)));
    Roster {
        domain: entry(domain).domain,
        writer: member(domain),
        writer_address: entry(domain).address,
        revision: 2_000_000,
        hosts: hosts.collect(),
        guards: (0..DOMAINS).filter(|other| *other != domain).map(guard).collect(),
        former_guards: Vec::new(),
        seen: (0..DOMAINS).map(|other| (entry(other).domain, 2_000_000)).collect(),
    }
}

fn bytes_of(body: Body) -> usize {
    let message = Message { from: member(0), address: entry(0).address, body };
    serde_json::to_vec(&message).expect("the message can be encoded").len()
}

#[test]
fn heartbeat_traffic_fits_control_limit() {
    let now = Instant::now();
    let mut rosters: Vec<Roster> = (0..DOMAINS).map(roster).collect();
    let mut view = View::new(now);
    view.start_numbering(&member(0));
    view.rebuild(now, rosters.iter());
    let before = view.stamp().clone();
    let reply = |view: &View, since: &_| {
        bytes_of(Body::Reply(HeartbeatReply {
            acked_seq: 1_000_000,
            revision: 2_000_000,
            view: view.update_since(since),
            is_store_up: true,
            manifest_version: Some(54_321),
        }))
    };
    let heartbeat = bytes_of(Body::Heartbeat(Heartbeat {
        seq: 1_000_000,
        entry: entry(0),
        view: before.clone(),
    }));
    let empty = reply(&view, &before);
    let complete = reply(&view, &Default::default());
    rosters[3].hosts.remove(&member(3).host);
    view.rebuild(now, rosters.iter());
    let removal = reply(&view, &before);
    let roster_bytes = encode(&rosters[0]).len();
    println!(
        "{HOSTS} hosts, {DOMAINS} domains: heartbeat {heartbeat} B, reply {empty} B, with one host \
         gone {removal} B, with the whole view {complete} B, roster {roster_bytes} B"
    );
    // A host sends one heartbeat per second. Half of the limit is left for other control traffic.
    assert!(heartbeat + empty < CONTROL_BYTES_PER_S_MAX / 2);
}
