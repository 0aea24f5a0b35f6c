//! The Object API: client and stand-in against each other over a socket.

mod common;

use {
    common::{PATIENCE, fault_cases, switch, until},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    smol::block_on,
    std::{collections::BTreeMap, time::Duration},
    trefoilring_clients::{KeyVersion, ObjectApi, PutError},
    trefoilring_core::verdict::Verdict,
    trefoilring_standin::{
        Faults, Running,
        objects::{Objects, Options, start},
    },
};

fn pair() -> (Running<Objects>, ObjectApi) {
    let objects = start(Options::default()).unwrap();
    let client = ObjectApi::new(objects.address(), PATIENCE);
    (objects, client)
}

fn keys(listed: &[KeyVersion]) -> Vec<&str> {
    listed.iter().map(|listed| &*listed.key).collect()
}

#[test]
fn changes_are_conditional_on_the_version() {
    let (_objects, client) = pair();
    block_on(async {
        assert_eq!(client.get("a/b").await.unwrap(), None);
        let first = client.put("a/b", 0, b"1".to_vec()).await.unwrap();
        let conflict = PutError::Conflict { present: first };
        assert_eq!(client.put("a/b", 0, b"2".to_vec()).await.unwrap_err(), conflict);
        let second = client.put("a/b", first, b"2".to_vec()).await.unwrap();
        assert!(second > first);
        let conflict = PutError::Conflict { present: second };
        assert_eq!(client.delete("a/b", first).await.unwrap_err(), conflict);
        let read = client.get("a/b").await.unwrap().unwrap();
        assert_eq!((read.version, &*read.value), (second, b"2".as_slice()));
        client.delete("a/b", second).await.unwrap();
        let absent = PutError::Conflict { present: 0 };
        assert_eq!(client.delete("a/b", second).await.unwrap_err(), absent);
        assert_eq!(client.put("a/b", second, Vec::new()).await.unwrap_err(), absent);
        // A key made again must not meet an old reader's version.
        assert!(client.put("a/b", 0, Vec::new()).await.unwrap() > second);
    });
}

#[test]
fn any_key_and_value_come_back_as_they_went() {
    let (_objects, client) = pair();
    let values = [Vec::new(), vec![0, 255, 13, 10], vec![7; 1024 * 1024]];
    block_on(async {
        for key in ["a", "a b", "a%2Fb", "a?b#c", "ışıl/സമയം", "a&after=b", "~._-/x"] {
            for value in &values {
                let version = client.get(key).await.unwrap().map_or(0, |object| object.version);
                client.put(key, version, value.clone()).await.unwrap();
                assert_eq!(client.get(key).await.unwrap().unwrap().value, *value, "{key}");
            }
            assert_eq!(keys(&client.list(key, "", 9).await.unwrap()), [key]);
            let version = client.get(key).await.unwrap().unwrap().version;
            client.delete(key, version).await.unwrap();
        }
        for key in ["", "/a", "a//b", "a/../b", "a/."] {
            let refused = client.put(key, 0, Vec::new()).await.unwrap_err();
            assert!(matches!(refused, PutError::NotApplied(_)), "{key:?}: {refused}");
        }
        let refused = client.put("big", 0, vec![7; 1024 * 1024 + 1]).await.unwrap_err();
        assert!(matches!(refused, PutError::NotApplied(_)), "{refused}");
    });
}

#[test]
fn lists_in_key_order_page_by_page() {
    let (_objects, client) = pair();
    block_on(async {
        for key in ["j/2", "j/10", "j/1", "k/1", "j", "j/1/x"] {
            client.put(key, 0, Vec::new()).await.unwrap();
        }
        let page = client.list("j/", "", 2).await.unwrap();
        assert_eq!(keys(&page), ["j/1", "j/1/x"]);
        let page = client.list("j/", "j/1/x", 9).await.unwrap();
        assert_eq!(keys(&page), ["j/10", "j/2"]);
        assert!(client.list("j/", "j/2", 9).await.unwrap().is_empty());
        assert_eq!(client.list("", "", 9).await.unwrap().len(), 6);
    });
}

#[test]
fn a_watch_wakes_at_a_change_and_only_then() {
    let (objects, client) = pair();
    block_on(async {
        let first = client.put("c/1", 0, Vec::new()).await.unwrap();
        let seen = client.watch("c/", 0, PATIENCE).await.unwrap();
        assert_eq!(seen.changes, [KeyVersion { key: "c/1".into(), version: first }]);
        let watching = smol::spawn({
            let (client, since) = (client.clone(), seen.revision);
            async move { client.watch("c/", since, PATIENCE).await.unwrap() }
        });
        until("the watch", || objects.counts().waiting == 1).await;
        client.put("other", 0, Vec::new()).await.unwrap();
        client.delete("c/1", first).await.unwrap();
        let woken = watching.await;
        assert_eq!(woken.changes, [KeyVersion { key: "c/1".into(), version: 0 }]);
        let quiet = client.watch("c/", woken.revision, Duration::ZERO).await.unwrap();
        assert_eq!(quiet.changes, []);
        // A store that lost its memory has a lower revision than its watchers.
        let reset = client.watch("", woken.revision + 100, Duration::ZERO).await.unwrap();
        assert_eq!(keys(&reset.changes), ["other", "c/1"]);
        assert_eq!(objects.counts().waiting, 0);
    });
}

#[test]
fn a_watcher_that_goes_away_does_not_count_as_waiting() {
    let (objects, client) = pair();
    block_on(async {
        let watching = smol::spawn(async move { client.watch("c/", 0, PATIENCE).await });
        until("the watch", || objects.counts().waiting == 1).await;
        watching.cancel().await;
        until("the end of the watch", || objects.counts().waiting == 0).await;
    });
}

#[test]
fn each_fault_has_the_verdict_that_its_effect_allows() {
    for case in fault_cases() {
        let (objects, _) = pair();
        let client = ObjectApi::new(objects.address(), case.patience());
        block_on(async {
            // An idle connection from before the fault must not change the verdict.
            assert_eq!(client.get("k").await.unwrap(), None);
            switch(objects.control(), case.faults.clone()).await;
            let verdict = match client.put("k", 0, b"v".to_vec()).await {
                Ok(_) => "done".to_owned(),
                Err(PutError::NotApplied(_)) => Verdict::NotRun.to_string(),
                Err(PutError::Unknown(_)) => Verdict::MayHaveRun.to_string(),
                Err(PutError::Conflict { .. }) => "conflict".to_owned(),
            };
            let has_effect = objects.peek("k").is_some();
            assert_eq!((&*verdict, has_effect), (case.verdict, case.has_effect), "{}", case.name);
            objects.control().set(Faults::default());
            let client = ObjectApi::new(objects.address(), PATIENCE);
            until("the service", || block_on(client.get("k")).is_ok()).await;
        });
    }
}

#[test]
fn an_outage_cuts_waiting_watches() {
    let (objects, client) = pair();
    block_on(async {
        let watching = smol::spawn(async move { client.watch("c/", 0, PATIENCE).await });
        until("the watch", || objects.counts().waiting == 1).await;
        objects.control().change(|faults| faults.down = trefoilring_standin::Down::Closed);
        assert!(watching.await.is_err());
    });
}

#[test]
fn the_rate_limit_refuses_without_effect_and_all_calls_are_counted() {
    let objects = start(Options { writes_per_s: 1, ..Options::default() }).unwrap();
    let client = ObjectApi::new(objects.address(), PATIENCE);
    block_on(async {
        let mut applied = 0;
        for number in 0..20 {
            match client.put(&format!("k{number}"), 0, Vec::new()).await {
                Ok(_) => applied += 1,
                Err(PutError::NotApplied(error)) => assert!(error.retry_after.is_some()),
                Err(other) => panic!("{other}"),
            }
        }
        client.list("", "", 9).await.unwrap();
        client.watch("", 0, Duration::ZERO).await.unwrap();
        let (counts, seen) = (client.counts(), objects.counts());
        assert_eq!((counts.reads, counts.writes, counts.watches), (1, 20, 1));
        assert_eq!((seen.reads, seen.writes, seen.watches), (1, 20, 1));
        assert_eq!((seen.objects, seen.limited), (applied, 20 - applied));
        assert!(seen.limited > 0);
    });
}

/// The store against a plain map, with lost answers resolved by reading back.
#[test]
fn random_changes_with_lost_answers_match_a_plain_map() {
    const SEED: u64 = 7;
    println!("seed {SEED}");
    let (objects, client) = pair();
    objects.control().change(|faults| faults.lose_answer_every = 5);
    let (mut rng, mut plain) = (StdRng::seed_from_u64(SEED), BTreeMap::<String, Vec<u8>>::new());
    block_on(async {
        for step in 0..400_u32 {
            let key = format!("k/{}", rng.random_range(0..8));
            let present = client.get(&key).await.unwrap();
            let version = present.as_ref().map_or(0, |object| object.version);
            assert_eq!(present.map(|object| object.value), plain.get(&key).cloned());
            // Some changes come from a reader that is out of date: they must change nothing.
            let is_stale = rng.random_bool(0.3);
            let if_version = if is_stale { version + 1 } else { version };
            let is_delete = version > 0 && rng.random_bool(0.3);
            let value = step.to_le_bytes().to_vec();
            let applied = match is_delete {
                true => client.delete(&key, if_version).await,
                false => client.put(&key, if_version, value.clone()).await.map(drop),
            };
            let is_applied = match applied {
                Ok(()) => true,
                Err(PutError::Unknown(_)) => {
                    let now = client.get(&key).await.unwrap();
                    now.map_or(0, |object| object.version) != version
                }
                Err(_) => false,
            };
            assert_eq!(is_applied, !is_stale, "step {step}");
            match (is_applied, is_delete) {
                (false, _) => None,
                (true, true) => plain.remove(&key),
                (true, false) => plain.insert(key, value),
            };
        }
        let listed = client.list("k/", "", 99).await.unwrap();
        assert_eq!(keys(&listed), plain.keys().collect::<Vec<_>>());
    });
}
