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

/// An upstream may send empty events without end; the work for each byte must not grow with what was read.
#[test]
fn splits_many_empty_events_in_little_time() {
    const COUNT: usize = 1 << 20;
    let start = std::time::Instant::now();
    let mut events = Events::after(None);
    let text = "\n".repeat(COUNT);
    assert_eq!(events.push(text.as_bytes()).len(), COUNT);
    // A copy of the rest for each event would move 512 GiB.
    assert!(start.elapsed().as_secs() < 5, "{:?}", start.elapsed());
}

/// An event may arrive byte by byte, with the end of its line split.
#[test]
fn splits_events_that_arrive_in_pieces() {
    for step in [1, 2, 3, 5] {
        let text = "id: 1\r\ndata: a\r\n\r\n\n\r\nid: 2\ndata: b\n\n";
        let mut events = Events::after(None);
        let mut relayed = Vec::new();
        for piece in text.as_bytes().chunks(step) {
            relayed.append(&mut events.push(piece));
        }
        assert_eq!(relayed, text.as_bytes(), "pieces of {step}");
        assert_eq!(
            (events.last(), events.count()),
            (Some("2"), 4),
            "pieces of {step}"
        );
    }
}
