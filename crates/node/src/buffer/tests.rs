//! Consuming, appending and compaction.
use super::Buffer;

#[test]
fn unread_bytes_move_to_the_front_on_append() {
    let mut buffer = Buffer::default();
    buffer.put(b"abcdef");
    buffer.consume(4);
    buffer.put(b"gh");
    assert_eq!((buffer.unread(), buffer.start), (&b"efgh"[..], 0));
    assert_eq!(
        (buffer.take(1), buffer.unread()),
        (bytes::Bytes::from_static(b"e"), &b"fgh"[..])
    );
    buffer.consume(99);
    assert!(buffer.is_empty());
}
