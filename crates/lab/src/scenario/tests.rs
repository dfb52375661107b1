use super::*;
use expect_test::expect;

#[test]
fn invalid_scenario_is_reported_in_one_line() {
    let texts = [
        "nodes = 0",
        "node = 3",
        "seconds = \"long\"",
        "settle = 70.0",
        "product = []",
        "[traffic]\nrate = -1.0",
        "[traffic]\nrate = 1e9",
        "[caches]\nspeed = [2.0, 1.0]",
        "[[fault]]\nkind = \"flood\"\nat = 1.0",
        "[[fault]]\nkind = \"crash\"\nat = 99.0",
        "[[product]]\nname = \"x\"\nshare = 1.0\nslo_ms = 10.0\ntimeout_ms = 5.0\nwork_ms = 1.0",
        "nodes = = 3",
    ];
    let messages = texts.map(|text| match Scenario::parse(text) {
        Ok(_) => format!("{text:?}: accepted\n"),
        Err(error) => format!("{error}\n"),
    });
    assert!(messages.iter().all(|line| line.lines().count() == 1));
    expect![[r#"
        nodes: 0 is not within 1 to 5000
        node: unknown field `node`, expected one of `seed`, `seconds`, `settle`, `policy`, `nodes`, `nodes_told`, `network`, `clients`, `traffic`, `keys`, `caches`, `origin`, `rules`, `attempts`, `product`, `fault`
        seconds: invalid type: string "long", expected f64
        settle: 70 is not within 0 to 59.4
        product: at least one is needed
        traffic.rate: -1 is not above 0
        traffic.rate times seconds: 60000000000 is not within 0 to 50000000
        caches.speed: 2 to 1 is not a valid range
        fault[0].kind: unknown variant `flood`, expected one of `crash`, `hang`, `slow`, `drain`, `cold_restart`, `partition`, `origin_slow`, `origin_stop`, `burst`, `hot_key`, `scan`, `node_roll`, `network`
        fault[0].at: 99 is not within 0 to 60
        product[0].timeout_ms: 5 is not within 10 to 600000
        TOML parse error at line 1, column 9 | 1 | nodes = = 3 |         ^ extra `=`, expected nothing
    "#]]
    .assert_eq(&messages.concat());
    assert!(Scenario::parse("").is_ok());
}
