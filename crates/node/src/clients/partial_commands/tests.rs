//! Which commands are evicted.
use super::*;

const STALLED_AFTER: Span = Span::ms(250);

fn at(ms: i64) -> Time {
    Time(0) + Span::ms(ms)
}

#[test]
fn longest_stalled_commands_are_evicted_and_only_as_many_as_needed() {
    let mut commands = PartialCommands::default();
    commands.insert(ClientId(1), 100, at(20));
    commands.insert(ClientId(2), 100, at(10));
    commands.insert(ClientId(3), 100, at(0));
    commands.insert(ClientId(3), 100, at(30));
    let mut take = |now, missing| commands.take_stalled(at(now), missing, STALLED_AFTER);
    assert_eq!(take(259, 1), []);
    // One that has stalled for long enough holds too little.
    assert_eq!(take(260, 101), []);
    assert_eq!(take(270, 101), [ClientId(2), ClientId(1)]);
    assert_eq!(take(300, 0), []);
    assert_eq!(take(300, 1), [ClientId(3)]);
    assert_eq!(take(300, 1), []);
}

#[test]
fn command_that_makes_progress_or_is_not_read_is_kept() {
    let mut commands = PartialCommands::default();
    commands.insert(ClientId(1), 100, at(0));
    commands.insert(ClientId(1), 100, at(200));
    assert_eq!(commands.take_stalled(at(400), 1, STALLED_AFTER), []);
    commands.remove(ClientId(1));
    assert_eq!(commands.take_stalled(at(900), 1, STALLED_AFTER), []);
}
