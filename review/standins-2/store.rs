//! The platform's store: objects by kind and name, with lists and watches.

use crate::http::{self, Message, Reader};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PAGE_BYTES: usize = 1 << 20;
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    /// Kind, name, whether it was deleted, and the object, by revision.
    history: BTreeMap<u64, (String, String, bool, String)>,
    objects: BTreeMap<(String, String), (u64, String)>,
    revision: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deletion_pending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            revision: 10,
            ..State::default()
        };
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(&stream));
            }
        });
        Ok(store)
    }

    /// Writes an object, as the operator and the engines do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_string(), name.to_string());
        state.objects.insert(key, (revision, spec.to_string()));
        let text = object(name, revision, spec);
        state
            .history
            .insert(revision, (kind.to_string(), name.to_string(), false, text));
        changed.notify_all();
        revision
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(mut reader) = Reader::new(stream) else {
            return;
        };
        while let Ok(Some(request)) = reader.message() {
            let (status, body) = self.handle(&request);
            if http::answer(
                stream,
                status,
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            )
            .is_err()
            {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
        };
        let mut parts = path.trim_start_matches("/v1/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_string();
        let name = parts.next().map(str::to_string);
        match (request.method(), name) {
            ("GET", None) => match parameter("watch").and_then(|revision| revision.parse().ok()) {
                Some(revision) => {
                    let wait = parameter("wait_ms")
                        .and_then(|wait| wait.parse().ok())
                        .unwrap_or(0);
                    (
                        "200 OK",
                        self.watch(&kind, revision, Duration::from_millis(wait)),
                    )
                }
                None => ("200 OK", self.list(&kind, parameter("after"))),
            },
            ("GET", Some(name)) => {
                let state = self.shared.0.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some((revision, spec)) => ("200 OK", object(&name, *revision, spec)),
                    None => ("404 Not Found", "{}".to_string()),
                }
            }
            (method, name) => self.write(method, &kind, name, request),
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: Option<String>,
        request: &Message,
    ) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&request.body).to_string();
        let field = |key: &str| {
            body.split_once(&format!("\"{key}\":"))
                .map(|(_, rest)| rest.to_string())
        };
        let spec = field("spec")
            .map(|rest| rest[..rest.len() - 1].to_string())
            .unwrap_or_else(|| "null".to_string());
        let named = field("name").and_then(|rest| rest.split('"').nth(1).map(str::to_string));
        let Some(name) = name.or(named) else {
            return ("400 Bad Request", "{}".to_string());
        };
        let revision: Option<u64> = field("revision").and_then(|rest| {
            rest.split([',', '}'])
                .next()
                .and_then(|number| number.trim().parse().ok())
        });
        let known = self
            .shared
            .0
            .lock()
            .unwrap()
            .objects
            .get(&(kind.to_string(), name.clone()))
            .cloned();
        let is_expected = match (method, &known) {
            ("POST", known) => known.is_none(),
            (_, Some((at, _))) => revision.is_none_or(|revision| revision == *at),
            (_, None) => return ("404 Not Found", "{}".to_string()),
        };
        if !is_expected {
            let (at, spec) = known.unwrap_or_default();
            return ("409 Conflict", object(&name, at, &spec));
        }
        let at = self.put(kind, &name, &spec);
        ("200 OK", object(&name, at, &spec))
    }

    /// A page of about a megabyte at most.
    fn list(&self, kind: &str, after: Option<&str>) -> String {
        let state = self.shared.0.lock().unwrap();
        let rest = state.objects.iter().filter(|((known, name), _)| {
            known == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let (mut items, mut length, mut has_more) = (Vec::new(), 0, false);
        for ((_, name), (revision, spec)) in rest {
            if !items.is_empty() && (length + spec.len() > PAGE_BYTES || items.len() >= PAGE_ITEMS)
            {
                has_more = true;
                break;
            }
            length += spec.len();
            items.push(object(name, *revision, spec));
        }
        format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"at\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<_> = state
                .history
                .range(since + 1..)
                .filter(|(_, (known, ..))| known == kind)
                .map(|(_, (_, _, is_deleted, object))| {
                    format!("{{\"deleted\":{is_deleted},\"object\":{object}}}")
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
