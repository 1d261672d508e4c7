//! Stand-in for the platform's store: objects with revisions, listings, watches, conditional writes, and copies that are
//! some seconds old for calls with `allowStale`.

use {
    crate::{
        http::{Head, call},
        record::Record,
    },
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Age of the copies that calls with `allowStale` get. The pages say "seconds old".
const COPY_AGE: Duration = Duration::from_secs(3);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

type Objects = BTreeMap<(String, String), Object>;

struct Change {
    revision: u64,
    kind: String,
    name: String,
    /// `None` for a removal.
    object: Option<Object>,
    at: Instant,
}

struct State {
    revision: u64,
    objects: Objects,
    history: Vec<Change>,
}

/// A running store. Its threads end with the process.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            shared: Arc::new((
                Mutex::new(State {
                    revision: 100,
                    objects: Objects::new(),
                    history: Vec::new(),
                }),
                Condvar::new(),
            )),
            record: record.clone(),
        };
        record.line(&format!("store {} started", store.address));
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(&stream));
            }
        });
        store
    }

    /// Writes the configuration as the operator does. Returns the time of the acknowledgement.
    pub fn write_configuration(&self, spec: &str) -> Duration {
        let is_new = !self
            .shared
            .0
            .lock()
            .unwrap()
            .objects
            .contains_key(&config());
        let (method, path) = if is_new {
            ("POST", "/api/objects/config")
        } else {
            ("PUT", "/api/objects/config/main")
        };
        let json = format!("{{\"metadata\":{{\"name\":\"main\"}},\"spec\":{spec}}}");
        let answer = call(self.address, method, path, &json).expect("the store answers");
        let at = self.record.now();
        assert_eq!(answer.status, 200, "the store takes the configuration");
        self.record.line("the store acknowledges a configuration");
        at
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let Ok(body) = head.read_body(&mut reader, false) else {
                return;
            };
            thread::sleep(Duration::from_millis(4));
            let (status, json) = self.answer(&head, &String::from_utf8_lossy(&body));
            let length = json.len();
            let answer = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{json}"
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == wanted)
                .map(|(_, value)| value)
        };
        let number = |wanted: &str| parameter(wanted).and_then(|text| text.parse::<u64>().ok());
        match (head.word(0), name) {
            ("GET", None) if number("watch").is_some() => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                self.watch(kind, number("watch").unwrap_or(0), wait)
            }
            ("GET", name) => self.read(
                kind,
                name,
                number("allowStale") == Some(1),
                parameter("after"),
            ),
            ("POST", None) => {
                let name = text(member(body, "metadata").unwrap_or(""), "name");
                self.write(kind, &name, None, member(body, "spec"), true)
            }
            ("PUT", Some(name)) => {
                let revision = member(member(body, "metadata").unwrap_or(""), "revision");
                let revision = revision.and_then(|text| text.parse().ok());
                self.write(kind, name, revision, member(body, "spec"), false)
            }
            ("DELETE", Some(name)) => self.write(kind, name, number("revision"), None, false),
            _ => (404, "{}".to_owned()),
        }
    }

    fn read(
        &self,
        kind: &str,
        name: Option<&str>,
        is_copy: bool,
        after: Option<&str>,
    ) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let (objects, revision) = state.as_of(is_copy.then_some(COPY_AGE));
        if let Some(name) = name {
            return match objects.get(&(kind.to_owned(), name.to_owned())) {
                Some(object) => (200, object.json(name)),
                None => (404, "{}".to_owned()),
            };
        }
        let items: Vec<String> = objects
            .iter()
            .filter(|((known, name), _)| {
                known == kind && after.is_none_or(|after| name.as_str() > after)
            })
            .map(|((_, name), object)| object.json(name))
            .collect();
        let items = items.join(",");
        (
            200,
            format!("{{\"items\":[{items}],\"more\":false,\"currentRev\":{revision}}}"),
        )
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.revision > from && change.kind == kind)
                .map(Change::json)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        spec: Option<&str>,
        is_new: bool,
    ) -> (u16, String) {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        match &known {
            Some(known)
                if is_new || expected.is_some_and(|expected| expected != known.revision) =>
            {
                return (409, known.json(name));
            }
            None if !is_new => return (404, "{}".to_owned()),
            _ => {}
        }
        state.revision += 1;
        let revision = state.revision;
        let object = spec.map(|spec| Object {
            revision,
            created: known.map_or(revision, |known| known.created),
            spec: spec.to_owned(),
        });
        match &object {
            Some(object) => state.objects.insert(key, object.clone()),
            None => state.objects.remove(&key),
        };
        let json = object
            .as_ref()
            .map_or("{}".to_owned(), |object| object.json(name));
        state.history.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object,
            at: Instant::now(),
        });
        changed.notify_all();
        (200, json)
    }
}

impl State {
    /// The objects as they are, or as they were before the changes of the last `age`.
    fn as_of(&self, age: Option<Duration>) -> (Objects, u64) {
        let Some(age) = age else {
            return (self.objects.clone(), self.revision);
        };
        let mut objects = Objects::new();
        let mut revision = 100;
        for change in self
            .history
            .iter()
            .take_while(|change| change.at.elapsed() >= age)
        {
            let key = (change.kind.clone(), change.name.clone());
            match &change.object {
                Some(object) => objects.insert(key, object.clone()),
                None => objects.remove(&key),
            };
            revision = change.revision;
        }
        (objects, revision)
    }
}

impl Object {
    fn json(&self, name: &str) -> String {
        let Self {
            revision,
            created,
            spec,
        } = self;
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        )
    }
}

impl Change {
    fn json(&self) -> String {
        let removed = Object {
            revision: self.revision,
            created: 0,
            spec: "null".to_owned(),
        };
        let (object, deleted) = (
            self.object.as_ref().unwrap_or(&removed),
            self.object.is_none(),
        );
        format!(
            "{{\"deleted\":{deleted},\"object\":{}}}",
            object.json(&self.name)
        )
    }
}

fn config() -> (String, String) {
    ("config".to_owned(), "main".to_owned())
}

/// The text of a member of a JSON object, unparsed.
fn member<'a>(json: &'a str, wanted: &str) -> Option<&'a str> {
    let bytes = json.as_bytes();
    let (mut depth, mut at, mut key, mut start) = (0, 0, None, None);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let from = at;
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                if depth == 1 && start.is_none() {
                    key = Some(&json[from + 1..at]);
                }
            }
            b':' if depth == 1 && start.is_none() => start = Some(at + 1),
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return (key == Some(wanted)).then(|| json[start.unwrap_or(at)..at].trim());
                }
            }
            b',' if depth == 1 => {
                if key == Some(wanted) {
                    return Some(json[start.unwrap_or(at)..at].trim());
                }
                (key, start) = (None, None);
            }
            _ => {}
        }
        at += 1;
    }
    None
}

fn text(json: &str, wanted: &str) -> String {
    member(json, wanted)
        .unwrap_or("")
        .trim_matches('"')
        .to_owned()
}
