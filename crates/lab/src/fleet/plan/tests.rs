use super::*;
use expect_test::expect;

#[test]
fn invalid_plan_is_rejected_in_one_line_that_names_the_key() {
    let texts = [
        "[[fault]]\nkind = \"kill\"\nat = 1.0\nnodes = [7]",
        "[[fault]]\nkind = \"kill\"\nat = 1.0",
        "[[fault]]\nkind = \"pause\"\nat = 1.0\nnodes = [1]",
        "[[fault]]\nkind = \"cut\"\nat = 1.0\nfrom = [\"node-1\"]",
        "[[fault]]\nkind = \"cut\"\nat = 1.0\nfrom = [\"node-1\"]\nto = [\"cache-99\"]",
        "[[fault]]\nkind = \"spoil\"\nat = 1.0\nfrom = [\"nodes\"]\nto = [\"origin\"]\nloss = 1.5",
        "[[fault]]\nkind = \"cutt\"\nat = 1.0",
        "[scenario]\nnodes = 500",
        "[scenario]\nnode = 5",
        "[[scenario.fault]]\nkind = \"node_roll\"\nat = 1.0",
        "absent = [9]",
        "fault = 3",
    ];
    let errors = texts.map(|text| match Plan::parse(text) {
        Ok(_) => format!("{text:?}: accepted\n"),
        Err(error) => format!("{error}\n"),
    });
    expect![[r#"
        fault[0].nodes: there is no node 7
        fault[0].nodes: nodes or share is needed
        fault[0].for: is needed
        fault[0].from: from and to are needed
        fault[0].to: "cache-99" is not an endpoint
        fault[0].loss: 1.5 is not within 0 to 0.99
        fault[0].kind: unknown variant `cutt`, expected one of `kill`, `end`, `pause`, `order`, `start`, `roll`, `cut`, `spoil`, `replay`, `flood`
        scenario.nodes: 500 is not within 1 to 96
        scenario.node: unknown field `node`, expected one of `seed`, `seconds`, `settle`, `policy`, `nodes`, `nodes_told`, `network`, `clients`, `traffic`, `keys`, `caches`, `origin`, `rules`, `attempts`, `product`, `fault`
        scenario.fault[0].kind: stub servers can't play it; [[fault]] may
        absent: there is no node 9
        fault: invalid type: integer `3`, expected a sequence
    "#]].assert_eq(&errors.concat());
}

#[test]
fn share_is_drawn_from_the_seed_and_links_are_one_way() {
    let text = "[scenario]\nnodes = 8\n[[fault]]\nkind = \"kill\"\nat = 1.0\nshare = 0.25\n[[fault]]\nkind = \"cut\"\nat = 1.0\n\
                from = [\"node-1\", \"node-2\"]\nto = [\"node-2\", \"origin\"]";
    let plan = Plan::parse(text).expect("a plan");
    assert_eq!(
        (plan.target_nodes(0).len(), plan.target_nodes(0)),
        (2, Plan::parse(text).expect("a plan").target_nodes(0))
    );
    let links = [
        (1, Endpoint::Node(2)),
        (1, Endpoint::Server(12)),
        (2, Endpoint::Server(12)),
    ];
    assert_eq!(
        plan.affected_links(1),
        links.map(|(from, to)| LinkId {
            from: Endpoint::Node(from),
            to
        })
    );
}
