use super::*;

const MEMORY: Span = Span::ms(10_000);

/// The file of a test's table, removed at its end.
struct TableFile(PathBuf);

impl TableFile {
    fn new(name: &str) -> TableFile {
        let name = format!("quartzhub-test-{}-{name}", std::process::id());
        TableFile(std::env::temp_dir().join(name))
    }

    fn open(&self, process: u32, id_memory: Span) -> SharedIds {
        SharedIds::open_file(&self.0, process, id_memory).expect("a table")
    }
}

impl Drop for TableFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn id_is_known_to_the_other_process_only() {
    let file = TableFile::new("known");
    let (first, second) = (file.open(1, MEMORY), file.open(2, MEMORY));
    assert!(!second.sent_by_other_process("id"));
    first.insert("id").expect("written");
    assert!(second.sent_by_other_process("id"));
    assert!(!second.sent_by_other_process("id2"));
    assert!(!first.sent_by_other_process("id"));
}

#[test]
fn id_is_forgotten_in_time() {
    let file = TableFile::new("forgotten");
    file.open(1, MEMORY).insert("id").expect("written");
    assert!(!file.open(2, Span::ZERO).sent_by_other_process("id"));
}

#[test]
fn table_has_a_fixed_size() {
    let file = TableFile::new("size");
    let table = file.open(1, MEMORY);
    (0..50_000).for_each(|id| table.insert(&format!("id{id}")).expect("written"));
    let size = std::fs::metadata(&file.0).expect("a file").len();
    assert!(size <= SLOTS * ENTRY_BYTES as u64, "{size} bytes");
}
