//! Operators' orders about servers, over an emulated network that loses, cuts and restarts.
use quartzhub_members::sim::{Net, FLEET};
use quartzhub_members::wire::{fleet, Entry, Head, Kind, Packet};
use quartzhub_members::{Id, Limits, Order, Refused, Server, Without};
use quartzhub_policy::Span;

const CACHE: Server = Server(0xfeed_beef_cafe_0001);

fn settled(nodes: usize, limits: Limits, seed: u64) -> Net {
    let mut net = Net::new(nodes, limits, seed);
    net.start_all();
    net.play(Span::ms(8_000));
    net
}

fn drained(net: &Net, at: usize, server: Server) -> Option<bool> {
    net.get(at)?.orders().find(|held| held.fact.server == server).map(|held| held.fact.drain)
}

/// How many that run hold it so.
fn hold(net: &Net, server: Server, drain: bool) -> usize {
    (0..net.len()).filter(|at| drained(net, *at, server) == Some(drain)).count()
}

/// Milliseconds until all hold it so, looked at every 20.
fn until_all(net: &mut Net, server: Server, drain: bool, most_ms: i64) -> Option<i64> {
    let running = (0..net.len()).filter(|at| net.get(*at).is_some()).count();
    (0..=most_ms / 20)
        .find(|step| {
            if *step > 0 {
                net.play(Span::ms(20));
            }
            hold(net, server, drain) == running
        })
        .map(|steps| steps * 20)
}

#[test]
fn an_order_reaches_all_at_once_and_its_revocation_too_through_loss() {
    let mut slowest = 0;
    for (nodes, loss) in [(3, 0.0), (12, 0.2), (48, 0.2), (200, 0.2), (400, 0.0)] {
        for seed in 1..=if nodes < 100 { 3 } else { 1 } {
            let mut net = settled(nodes, Limits::default(), seed);
            net.loss = loss;
            assert!(net.order(nodes / 2, CACHE, true).is_ok());
            let first = until_all(&mut net, CACHE, true, 5_000).expect("the order at all nodes");
            assert!(net.order(0, CACHE, false).is_ok());
            let back = until_all(&mut net, CACHE, false, 5_000).expect("the revocation at all nodes");
            slowest = slowest.max(first).max(back);
            if loss == 0.0 {
                assert!(first <= 200 && back <= 200, "{nodes} nodes: {first} and {back} ms");
            }
        }
    }
    assert!(slowest <= 2_000, "{slowest} ms with a fifth lost");
}

/// A rumour as a node sent it, however late it comes.
fn late(net: &mut Net, from: usize, to: usize, order: Order) {
    let number = net.get(from).map_or(1, |members| members.number());
    let about = Id(to as u16);
    let head =
        Head { kind: Kind::Ping { hello: false }, from: Id(from as u16), number, count: 1, probe: 1, about };
    let mut packet = Packet::new(quartzhub_members::wire::VERSION, fleet(FLEET), &head);
    assert!(packet.add(&Entry::Order(order)));
    net.inject(from, to, packet.done());
}

#[test]
fn a_late_older_rumour_undoes_nothing_unless_versions_are_disregarded() {
    let play = |limits: Limits| {
        let mut net = settled(12, limits, 5);
        let first = net.order(3, CACHE, true).expect("an order");
        net.play(Span::ms(2_000));
        net.order(7, CACHE, false).expect("a revocation");
        net.play(Span::ms(2_000));
        for to in (0..12).filter(|to| *to != 3) {
            late(&mut net, 3, to, first);
        }
        net.play(Span::ms(500));
        hold(&net, CACHE, true)
    };
    assert_eq!(play(Limits::default()), 0);
    let without = Without { versions: true, ..Without::default() };
    assert!(play(Limits { without, ..Limits::default() }) > 0, "broken on purpose, and not seen");
}

#[test]
fn a_node_that_restarts_from_nothing_learns_what_holds_and_gives_no_order_before() {
    let mut net = settled(12, Limits::default(), 2);
    for server in 0..40 {
        net.order(1, Server(server), true).expect("an order");
    }
    net.play(Span::ms(6_000));
    net.kill(4);
    net.start(4);
    assert_eq!(net.order(4, Server(3), false), Err(Refused::Started));
    net.play(Span::ms(4_000));
    assert_eq!(net.get(4).map(|members| members.orders().count()), Some(40));
    net.order(4, Server(3), false).expect("a revocation");
    assert!(until_all(&mut net, Server(3), false, 2_000).is_some());
}

#[test]
fn both_sides_of_a_cut_agree_once_it_ends_and_the_drain_holds() {
    let mut net = settled(12, Limits::default(), 9);
    net.order(0, CACHE, true).expect("an order");
    net.play(Span::ms(3_000));
    let (left, right): (Vec<_>, Vec<_>) = ((0..7).collect(), (7..12).collect());
    net.cut(&left, &right);
    net.cut(&right, &left);
    net.order(1, CACHE, false).expect("a revocation on one side");
    net.order(8, Server(77), true).expect("an order on the other");
    net.play(Span::ms(20_000));
    assert_eq!((hold(&net, CACHE, false), hold(&net, Server(77), true)), (7, 5));
    net.order(9, CACHE, false).expect("a revocation on the other side as well");
    net.order(9, CACHE, true).expect("and an order again");
    net.cuts.clear();
    net.play(Span::ms(8_000));
    assert_eq!((hold(&net, CACHE, true), hold(&net, Server(77), true)), (12, 12));
}

#[test]
fn orders_are_bounded_and_a_drain_never_gives_way() {
    let mut net = settled(5, Limits { orders: 8, ..Limits::default() }, 3);
    for server in 0..8 {
        net.order(0, Server(server), true).expect("an order");
        net.play(Span::ms(300));
    }
    assert_eq!(net.order(0, Server(8), true), Err(Refused::Full));
    net.order(0, Server(2), false).expect("a revocation");
    net.order(0, Server(8), true).expect("an order in its place");
    net.play(Span::ms(4_000));
    for at in 0..5 {
        assert_eq!(
            (net.get(at).map(|members| members.orders().count()), drained(&net, at, Server(8))),
            (Some(8), Some(true))
        );
    }
    assert!(net.longest <= 256, "{} bytes", net.longest);
}
