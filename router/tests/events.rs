//! Splitting of event streams, and streams that break and resume.

use almondwell_router::events::Events;

fn event(id: u32) -> String {
    format!("id: {id}\ndata: text\n\n")
}

#[test]
fn relays_only_complete_events() {
    let mut events = Events::after(None);
    let text = format!("{}{}", event(1), event(2));
    let (first, rest) = text.as_bytes().split_at(event(1).len() + 5);
    assert_eq!(events.push(first), event(1).as_bytes());
    assert_eq!(events.last(), Some("1"));
    assert_eq!(events.push(rest), event(2).as_bytes());
    assert_eq!((events.last(), events.count()), (Some("2"), 2));
}

#[test]
fn drops_an_incomplete_event_on_resume() {
    let mut events = Events::after(None);
    events.push(format!("{}id: 2\ndata: te", event(1)).as_bytes());
    events.resume();
    assert_eq!(events.push(event(2).as_bytes()), event(2).as_bytes());
}

#[test]
fn skips_events_that_the_caller_has() {
    let mut events = Events::after(Some("2"));
    let again: String = (1..=3).map(event).collect::<Vec<_>>().concat();
    assert_eq!(events.push(again.as_bytes()), event(3).as_bytes());
}

#[test]
fn accepts_crlf_line_ends() {
    let mut events = Events::after(None);
    let text = "id: 7\r\ndata: x\r\n\r\n";
    assert_eq!(events.push(text.as_bytes()), text.as_bytes());
    assert_eq!(events.last(), Some("7"));
}

#[test]
fn relays_events_without_identifiers() {
    let mut events = Events::after(None);
    let text = ": comment\n\ndata: x\n\n";
    assert_eq!(events.push(text.as_bytes()), text.as_bytes());
    assert_eq!(events.last(), None);
}
