use super::*;
use crate::slab::Footprint;

fn settings(json: &str) -> Settings {
    Settings::from_document(&serde_json::from_str(json).expect("settings"))
}

#[test]
fn zones_keep_their_indices_when_settings_change() {
    let before = r#"{"Localities":["a","b"],"Kinds":["box","origin"]}"#;
    let mut names = NameTable::new(&settings(before));
    names.update(&settings(r#"{"Localities":["c","b"],"Kinds":["origin"]}"#));
    assert_eq!(
        format!("{:?} {:?}", names.zones, names.kinds),
        r#"["a", "b", "c"] ["origin"]"#
    );
}

#[test]
fn server_table_reuses_indices_and_shrinks() {
    let mut servers = ServerInterner::default();
    let indices: Vec<_> = (0..1000)
        .map(|i| servers.intern(&format!("s{i}")))
        .collect();
    indices.iter().for_each(|index| servers.release(*index));
    let Footprint {
        records,
        free,
        capacity,
    } = servers.footprint();
    assert_eq!((servers.len(), records, free), (0, 0, 0));
    assert!(capacity < 100, "{capacity}");
    let [a, b] = ["a", "b"].map(|id| servers.intern(id));
    servers.release(a);
    assert_eq!(
        (
            servers.contains("a"),
            servers.intern("b"),
            servers.intern("c")
        ),
        (false, b, a)
    );
}
