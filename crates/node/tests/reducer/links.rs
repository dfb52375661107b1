//! Connections to servers, and what is written on them.
use super::common::*;

#[test]
fn a_miss_goes_to_the_origin_and_links_are_used_again_until_idle_too_long() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("miss", |r, now| r.answered(now, LinkId(2), bare(Outcome::Miss)));
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("value", |r, now| r.answered(now, LinkId(3), value("v")));
    rig.call(client, "view", "c2", 400);
    rig.tell("hit", |r, now| r.answered(now, LinkId(2), value("w")));
    rig.pass(900);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 miss
        0   connect 3 to 9
        0 up 3
        0   write 3: c1, wait 397
        0 value
        0   answer 1: v
        0 call c2
        0   write 2: c2, wait 397
        0 hit
        0   answer 1: w
        800   close link 2
        800   close link 3
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_connect_that_finishes_late_writes_nothing_for_a_call_that_ended() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.tell("client left", |r, now| r.client_left(now, client));
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    expect![[r#"
           0 call c1
           0   connect 2 to 1
           0 client left
           0   close link 2
           0 up 2
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_connect_that_finishes_after_the_drain_writes_nothing() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.list(false, &[("a", 1, "terminating"), ("b", 2, "in_service")]);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   close link 2
        0   connect 3 to 2
        0 up 3
        0   write 3: c1, wait 397
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_shot_called_off_before_it_is_written_is_not_written() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("hit", |r, now| r.answered(now, LinkId(2), value("v")));
    rig.ask(client, "view", "c2", 400);
    rig.tell("call c2, client left", |r, now| r.client_left(now, client));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 hit
        0   answer 1: v
        0 call c2, client left
        0   close link 2
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_spoilt_answer_ends_its_link_and_may_have_run() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "book", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("spoilt", |r, now| r.spoilt(now, LinkId(2)));
    rig.call(client, "view", "c2", 400);
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("spoilt", |r, now| r.spoilt(now, LinkId(3)));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 spoilt
        0   close link 2
        0   answer 1: Errored("failed")
        0 call c2
        0   connect 3 to 1
        0 up 3
        0   write 3: c2, wait 397
        0 spoilt
        0   close link 3
        0   connect 4 to 9
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn an_answer_that_begins_and_does_not_end_is_given_up_early() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "book", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("began", |r, now| r.began(now, LinkId(2)));
    rig.pass(200);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 began
        100   close link 2
        100   answer 1: Errored("failed")
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn a_link_on_which_something_comes_unasked_is_closed() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("hit", |r, now| r.answered(now, LinkId(2), value("v")));
    rig.tell("again", |r, now| r.answered(now, LinkId(2), value("v")));
    rig.call(client, "view", "c2", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 hit
        0   answer 1: v
        0 again
        0   close link 2
        0 call c2
        0   connect 3 to 1
    "#]]
    .assert_eq(&rig.trace);
}

#[test]
fn the_link_that_has_rested_is_used_before_the_one_just_answered_on() {
    let mut rig = Rig::new("{}");
    let client = rig.client();
    rig.call(client, "view", "c1", 400);
    rig.call(client, "view", "c2", 400);
    rig.tell("up 2", |r, now| r.connected(now, LinkId(2)));
    rig.tell("up 3", |r, now| r.connected(now, LinkId(3)));
    rig.tell("hit", |r, now| r.answered(now, LinkId(3), value("w")));
    rig.pass(10);
    rig.tell("hit", |r, now| r.answered(now, LinkId(2), value("v")));
    rig.call(client, "view", "c3", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 call c2
        0   connect 3 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 up 3
        0   write 3: c2, wait 397
        0 hit
        10 hit
        10   answer 1: v
        10   answer 1: w
        10 call c3
        10   write 3: c3, wait 397
    "#]]
    .assert_eq(&rig.trace);
}
