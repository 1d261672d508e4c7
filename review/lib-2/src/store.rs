//! Stand-in for the platform's metadata store.

use {
    crate::{
        http::{Connection, Message},
        json,
    },
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// One version of an object.
#[derive(Debug, Clone)]
struct Version {
    revision: u64,
    at: Instant,
    /// Text of the spec; none if the object was removed.
    spec: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Versions of the objects by kind and name, oldest first.
    objects: BTreeMap<(String, String), Vec<Version>>,
}

/// A running store. Its threads end with the process.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// Age of the data that calls with `allowStale` get.
    stale_by: Duration,
}

impl Store {
    /// Starts a store. Reads that allow it are answered from data that is `stale_by` old.
    pub fn start(stale_by: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
            stale_by,
        });
        let serving = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&serving);
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read() {
                        let response = shared.answer(&request);
                        if connection.write(response.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(Self { address, shared })
    }

    /// Writes an object as the operator does. The return of this function is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.shared.state.lock().unwrap();
        state.set(kind, name, Some(spec.to_owned()));
        drop(state);
        self.shared.changed.notify_all();
    }
}

impl State {
    fn set(&mut self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        self.revision += 1;
        let versions = self
            .objects
            .entry((kind.to_owned(), name.to_owned()))
            .or_default();
        versions.push(Version {
            revision: self.revision,
            at: Instant::now(),
            spec,
        });
        self.revision
    }

    /// Current version of an object as of a time; none if it did not exist.
    fn get(&self, kind: &str, name: &str, as_of: Instant) -> Option<&Version> {
        let versions = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        let version = versions.iter().rfind(|version| version.at <= as_of)?;
        version.spec.is_some().then_some(version)
    }

    fn revision_at(&self, as_of: Instant) -> u64 {
        let versions = self.objects.values().flatten();
        let known = versions.filter(|version| version.at <= as_of);
        known.map(|version| version.revision).max().unwrap_or(100)
    }
}

fn object(name: &str, version: &Version) -> String {
    let spec = version.spec.as_deref().unwrap_or("null");
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{},"created":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#,
        version.revision
    )
}

fn respond(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Answer\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

impl Shared {
    fn answer(&self, request: &Message) -> String {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return respond(404, "{}");
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), name) {
            ("GET", "") if parameter(query, "watch").is_some() => self.watch(kind, query),
            ("GET", "") => self.list(kind, query),
            ("GET", name) => self.get(kind, name, query),
            ("POST", "") => self.create(kind, &body),
            ("PUT", name) => self.update(kind, name, &body),
            ("DELETE", name) => self.delete(kind, name),
            _ => respond(400, "{}"),
        }
    }

    fn as_of(&self, query: &str) -> Instant {
        let now = Instant::now();
        match parameter(query, "allowStale") {
            Some("1") => now.checked_sub(self.stale_by).unwrap_or(now),
            _ => now,
        }
    }

    fn get(&self, kind: &str, name: &str, query: &str) -> String {
        let state = self.state.lock().unwrap();
        match state.get(kind, name, self.as_of(query)) {
            Some(version) => respond(200, &object(name, version)),
            None => respond(404, "{}"),
        }
    }

    fn list(&self, kind: &str, query: &str) -> String {
        let as_of = self.as_of(query);
        let after = parameter(query, "after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let names = state.objects.keys().filter(|(known, _)| known == kind);
        let items: Vec<String> = names
            .filter(|(_, name)| name.as_str() > after)
            .filter_map(|(_, name)| Some(object(name, state.get(kind, name, as_of)?)))
            .collect();
        let body = format!(
            r#"{{"items":[{}],"more":false,"currentRev":{}}}"#,
            items.join(","),
            state.revision_at(as_of)
        );
        respond(200, &body)
    }

    fn watch(&self, kind: &str, query: &str) -> String {
        let number = |name| parameter(query, name).and_then(|text| text.parse::<u64>().ok());
        let from = number("watch").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
            let mut events: Vec<(u64, String)> = of_kind
                .flat_map(|((_, name), versions)| {
                    versions.iter().map(move |version| (name, version))
                })
                .filter(|(_, version)| version.revision > from)
                .map(|(name, version)| {
                    let deleted = version.spec.is_none();
                    let object = object(name, version);
                    let event = format!(r#"{{"deleted":{deleted},"object":{object}}}"#);
                    (version.revision, event)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.sort();
                let events: Vec<String> = events.into_iter().map(|(_, event)| event).collect();
                let body = format!(
                    r#"{{"events":[{}],"currentRev":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return respond(200, &body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> String {
        let metadata = json::member(body, "metadata").unwrap_or_default();
        let name = json::unquoted(json::member(metadata, "name").unwrap_or_default()).to_owned();
        let mut state = self.state.lock().unwrap();
        if let Some(version) = state.get(kind, &name, Instant::now()) {
            return respond(409, &object(&name, version));
        }
        self.set(&mut state, kind, &name, body)
    }

    fn update(&self, kind: &str, name: &str, body: &str) -> String {
        let metadata = json::member(body, "metadata").unwrap_or_default();
        let expected = json::member(metadata, "revision").and_then(|text| text.parse().ok());
        let mut state = self.state.lock().unwrap();
        let Some(version) = state.get(kind, name, Instant::now()) else {
            return respond(404, "{}");
        };
        if expected.is_some_and(|expected: u64| expected != version.revision) {
            return respond(409, &object(name, version));
        }
        self.set(&mut state, kind, name, body)
    }

    fn set(&self, state: &mut State, kind: &str, name: &str, body: &str) -> String {
        let spec = json::member(body, "spec").unwrap_or("null").to_owned();
        let is_same = state
            .get(kind, name, Instant::now())
            .is_some_and(|version| version.spec.as_deref() == Some(&spec));
        if !is_same {
            state.set(kind, name, Some(spec));
        }
        let response = match state.get(kind, name, Instant::now()) {
            Some(version) => respond(200, &object(name, version)),
            None => respond(404, "{}"),
        };
        self.changed.notify_all();
        response
    }

    fn delete(&self, kind: &str, name: &str) -> String {
        let mut state = self.state.lock().unwrap();
        if state.get(kind, name, Instant::now()).is_none() {
            return respond(404, "{}");
        }
        state.set(kind, name, None);
        self.changed.notify_all();
        respond(200, "{}")
    }
}
