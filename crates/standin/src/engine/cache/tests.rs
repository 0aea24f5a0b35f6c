use {
    super::*,
    crate::engine::text,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    trefoilring_core::message::Message,
};

/// Returns one block of ten tokens for each letter of the name.
fn blocks(letters: &str) -> Vec<Block> {
    let mut hash = text::EMPTY_PREFIX;
    let extended = letters.chars().map(|letter| {
        hash = text::extend_prefix_hash(&hash, &Message::text("user", &letter.to_string()));
        Block { hash, tokens: 10 }
    });
    extended.collect()
}

fn admit_and_finish(
    cache: &mut Cache,
    program: &str,
    letters: &str,
) -> Option<(usize, BTreeSet<ProgramId>)> {
    let (blocks, mut evicted) = (blocks(letters), BTreeSet::new());
    let pinned = cache.admit(&blocks, 0, &mut evicted)?;
    let reserved = 10 * (blocks.len() - pinned) as u64;
    cache.finish(&blocks, pinned, reserved, Some((&program.into(), 0)));
    Some((pinned, evicted))
}

fn held_tokens(cache: &Cache) -> Vec<(&str, u64)> {
    cache.programs().iter().map(|(program, held)| (&**program, held.tokens)).collect()
}

#[test]
fn shares_prefixes_and_evicts_the_least_recently_used() {
    let mut cache = Cache::new(60);
    assert_eq!(admit_and_finish(&mut cache, "p", "abc"), Some((0, BTreeSet::new())));
    assert_eq!(admit_and_finish(&mut cache, "q", "abd"), Some((2, BTreeSet::new())));
    assert_eq!(cache.used_tokens(), 40);
    assert_eq!(held_tokens(&cache), [("p", 30), ("q", 30)]);
    // Two of r's three blocks fit. The third evicts a block of p, which was used less recently than
    // q.
    assert_eq!(admit_and_finish(&mut cache, "r", "xyz"), Some((0, ["p".into()].into())));
    assert_eq!(held_tokens(&cache), [("p", 20), ("q", 30), ("r", 30)]);
    assert_eq!(cache.used_tokens(), 60);
}

#[test]
fn release_frees_only_memory_that_no_other_program_holds() {
    let mut cache = Cache::new(100);
    admit_and_finish(&mut cache, "p", "abc");
    admit_and_finish(&mut cache, "q", "abd");
    assert!(cache.release("p"));
    assert!(!cache.release("p"));
    assert_eq!((cache.used_tokens(), held_tokens(&cache)), (30, vec![("q", 30)]));
    assert!(cache.release("q"));
    assert_eq!(cache.used_tokens(), 0);
}

#[test]
fn an_admitted_sequence_keeps_its_memory() {
    let mut cache = Cache::new(50);
    admit_and_finish(&mut cache, "p", "abc");
    let (own, mut evicted) = (blocks("abce"), BTreeSet::new());
    assert_eq!(cache.admit(&own, 10, &mut evicted), Some(3));
    // 30 tokens are pinned and 20 reserved: nothing else fits, and nothing is evicted.
    assert_eq!(admit_and_finish(&mut cache, "q", "x"), None);
    assert!(cache.release("p"));
    assert_eq!(cache.used_tokens(), 50);
    cache.finish(&own, 3, 20, None);
    assert_eq!(cache.used_tokens(), 0);
}

#[test]
fn export_and_import_move_the_complete_chain() {
    let (mut from, mut to) = (Cache::new(50), Cache::new(50));
    admit_and_finish(&mut from, "p", "abc");
    let moved = from.blocks_of("p");
    assert_eq!(moved, blocks("abc"));
    assert!(to.import(&moved, &"p".into(), 0, &mut BTreeSet::new()));
    assert_eq!(to.cached_prefix_len(&blocks("abcd")), 3);
    assert!(!to.import(&blocks("abcdef"), &"p".into(), 0, &mut BTreeSet::new()));
}

/// Checks every invariant against values recomputed from all nodes.
fn check(cache: &Cache) {
    let sum = |matches: &dyn Fn(&CachedBlock) -> bool| -> u64 {
        cache.nodes.values().filter(|node| matches(node)).map(|node| node.tokens).sum()
    };
    assert!(cache.used_tokens() <= cache.capacity_tokens);
    assert_eq!(cache.cached_tokens, sum(&|_| true));
    assert_eq!(cache.pinned_tokens, sum(&|node| node.pins > 0));
    for (program, held) in &cache.programs {
        assert_eq!(held.tokens, sum(&|node| node.holders.contains(program)), "{program}");
    }
    for (hash, node) in &cache.nodes {
        let is_child = |other: &&CachedBlock| other.parent.as_ref() == Some(hash);
        let children: Vec<_> = cache.nodes.values().filter(is_child).collect();
        assert_eq!(node.children as usize, children.len());
        assert!(children.iter().all(|child| child.holders.is_subset(&node.holders)));
        assert!(children.iter().map(|child| child.pins).sum::<u32>() <= node.pins);
        assert!(
            node.pins > 0 || !node.holders.is_empty(),
            "a cached block is neither pinned nor held by a program"
        );
        let is_evictable = node.pins == 0 && node.children == 0;
        assert_eq!(cache.evictable.contains(&(node.used_at, *hash)), is_evictable);
    }
    assert!(cache.evictable.iter().all(|(_, hash)| cache.nodes.contains_key(hash)));
}

#[test]
fn invariants_hold_under_random_operations() {
    for seed in 0..200 {
        println!("seed {seed}");
        let mut rng = StdRng::seed_from_u64(seed);
        let mut cache = Cache::new(rng.random_range(30..200));
        let mut active = Vec::new();
        for _ in 0..200 {
            let program: ProgramId = format!("p{}", rng.random_range(0..4)).into();
            match rng.random_range(0..5) {
                0 => {
                    cache.release(&program);
                }
                1 | 2 if !active.is_empty() => {
                    let at = rng.random_range(0..active.len());
                    let (blocks, pinned, reserved): (Vec<Block>, _, _) = active.remove(at);
                    let keep = rng.random_bool(0.8).then_some((&program, 0));
                    cache.finish(&blocks, pinned, reserved, keep);
                }
                _ => {
                    let length = rng.random_range(1..6);
                    let letters: String =
                        (0..length).map(|_| if rng.random_bool(0.6) { 'a' } else { 'b' }).collect();
                    let blocks = blocks(&letters);
                    if let Some(pinned) = cache.admit(&blocks, 10, &mut BTreeSet::new()) {
                        let reserved = 10 * (blocks.len() - pinned + 1) as u64;
                        active.push((blocks, pinned, reserved));
                    }
                }
            }
            check(&cache);
        }
        for (blocks, pinned, reserved) in active {
            cache.finish(&blocks, pinned, reserved, None);
        }
        for number in 0..4 {
            cache.release(&format!("p{number}"));
        }
        check(&cache);
        assert_eq!(cache.used_tokens(), 0);
    }
}
