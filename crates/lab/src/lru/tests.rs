use super::Lru;

#[test]
fn least_recently_used_key_is_evicted_first() {
    let mut lru = Lru::new(2);
    lru.put(1);
    lru.put(2);
    assert!(lru.get(1));
    lru.put(3);
    assert_eq!([1, 2, 3].map(|key| lru.get(key)), [true, false, true]);
    lru.remove(1);
    lru.put(4);
    assert_eq!(
        ([1, 3, 4].map(|key| lru.get(key)), lru.len()),
        ([false, true, true], 2)
    );
}
