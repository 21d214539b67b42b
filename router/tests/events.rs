//! Splitting of event streams, and streams that break and resume.

use almondwell_router::events::{Events, MAX_EVENT_BYTES};

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

/// Guards against two runs joined within an event: the caller holds a part of a long event, so that the next
/// upstream must not send that event again.
#[test]
fn cannot_resume_inside_a_long_event() {
    let mut events = Events::after(None);
    events.push(event(1).as_bytes());
    assert!(events.can_resume());
    let long = format!("id: 2\ndata: {}", "x".repeat(MAX_EVENT_BYTES));
    assert!(!events.push(long.as_bytes()).is_empty());
    assert!(!events.can_resume());
    assert!(events.incomplete_bytes() > 0);
    events.push(b"\n\n");
    assert!(events.can_resume());
    assert_eq!((events.last(), events.incomplete_bytes()), (Some("2"), 0));
}

/// Guards against a long event whose end is not found since its line break arrives in two pieces.
#[test]
fn finds_the_end_of_a_long_event_that_arrives_in_pieces() {
    for line_break in ["\n", "\r\n"] {
        let end = format!("{line_break}{line_break}");
        for split in 1..end.len() {
            let mut events = Events::after(None);
            let long = format!("data: {}{}", "x".repeat(MAX_EVENT_BYTES), &end[..split]);
            let mut relayed = events.push(long.as_bytes());
            relayed.append(&mut events.push(&end.as_bytes()[split..]));
            assert_eq!(relayed, format!("{long}{}", &end[split..]).as_bytes());
            assert_eq!((events.count(), events.incomplete_bytes()), (1, 0));
        }
    }
}
