"""Stand-ins and helpers for the review scripts: nodes, servers, clients and the platform's store.

Nodes are started with the command and the variables of deploy/system.toml. All addresses are loopback addresses.
"""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of a small deployment (SYSTEM.md, Blue Mahoe Step Care Service Mesh).
BOUNDS = {
    "drainMs": 2000, "graceS": 6, "contactMs": 3000, "configApplyMs": 2000,
    "retryBudgetRatio": 0.2, "retryBudgetSlack": 48,
}


class CannotRun(Exception):
    """The case could not be carried out; run.sh exits with 2."""


def free_address(ip="127.0.0.1"):
    """An address with a port that is free for TCP and UDP, below the ports of outgoing connections."""
    for _ in range(1000):
        port = random.randrange(15_000, 32_000)
        if port in free_address.given:
            continue
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((ip, port))
                udp.bind((ip, port))
            except OSError:
                continue
        free_address.given.add(port)
        return f"{ip}:{port}"
    raise CannotRun("no free port")


free_address.given = set()


def pair(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


class Record:
    """record.txt: one line for each event, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class Rig:
    """All processes and stand-ins of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="jujubeline-review-")
        self.children = []
        self.machines = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["node"]
        self.store = None

    def spawn(self, words, env, log):
        child = subprocess.Popen(
            words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=open(os.path.join(self.temp, log), "ab"), stderr=subprocess.STDOUT)
        self.children.append(child)
        return child

    def start_store(self):
        """The platform's store: the project's stand-in."""
        program = os.path.join(ROOT, "target", "release", "jujubeline-standin")
        if not os.path.exists(program):
            raise CannotRun("review/build.sh has not built jujubeline-standin")
        self.store = free_address()
        self.spawn([program, "platform", "--address", self.store], plain_env(), "store.log")
        until(lambda: can_connect(self.store), 10, "the store does not listen")

    def put_config(self, version, routes, services):
        """Writes config/main as the operator. Returns the time of the ack."""
        columns = ["name", "host", "pathPrefix", "type", "timeoutMs", "targetLatencyMs", "priority", "trafficSplit",
                   "maxAttempts", "service"]
        spec = {
            "version": f"{version:08x}",
            "routes": {"columns": columns, "rows": [[route.get(column) for column in columns] for route in routes]},
            "services": {"columns": ["name", "healthPath", "maxConnections", "protocol", "tls"],
                         "rows": [[name, "/health", 640, "h1", False] for name in services]},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
        }
        body = {"metadata": {"name": "main"}, "spec": spec}
        status, _, answer = call(self.store, "GET", "/api/objects/config/main")
        if status == 404:
            status, _, answer = call(self.store, "POST", "/api/objects/config", body)
        else:
            status, _, answer = call(self.store, "PUT", "/api/objects/config/main", body)
        if status not in (200, 201):
            raise CannotRun(f"the store refused the configuration: {status} {answer[:200]}")
        self.record.write(f"operator: configuration {version:08x} with {len(routes)} routes is acknowledged")
        return time.monotonic()

    def machine(self, name, zone, service):
        machine = Machine(self, name, zone, service)
        self.machines.append(machine)
        return machine

    def close(self):
        for machine in self.machines:
            if machine.server:
                machine.server.stop()
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children:
            child.wait()
        if os.environ.get("KEEP"):
            print(self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


class Machine:
    """A machine: the addresses of its node and its server."""

    def __init__(self, rig, name, zone, service):
        self.rig, self.name, self.zone, self.service = rig, name, zone, service
        ip = "127.0.0.1"
        self.app = free_address(ip)
        self.outbound, self.inbound = free_address(ip), free_address(ip)
        self.control, self.ready_address = free_address(ip), free_address(ip)
        self.port_range = [int(free_address(ip).rsplit(":", 1)[1])]
        self.ip = ip
        self.node = None
        self.server = None

    def fields(self):
        return {
            "nodeName": self.name, "region": "jm-south", "zone": self.zone, "service": self.service,
            "appAddr": self.app, "ip": self.ip, "portRange": self.port_range,
            "listen": {"outbound": self.outbound, "inbound": self.inbound, "control": self.control,
                       "readyAddr": self.ready_address},
            "platform": {"address": self.rig.store}, "bounds": BOUNDS,
        }

    def start_node(self):
        """Starts the node with the command of the deploy file."""
        role = self.rig.role
        env = plain_env()
        for name, text in role["env"].items():
            env[name] = fill(text, self.fields())
        words = [fill(word, self.fields()) for word in role["run"].split()]
        self.node = self.rig.spawn(words, env, f"{self.name}.log")
        self.rig.record.write(f"{self.name}: node starts, pid {self.node.pid}")

    def kill_node(self):
        self.node.kill()
        self.node.wait()
        self.rig.record.write(f"{self.name}: node is killed (SIGKILL)")

    def is_ready(self):
        try:
            return call(self.ready_address, "GET", "/api/ready", timeout=1)[0] == 200
        except OSError:
            return False

    def metric(self, name):
        """Sum of a metric's values on the node's own metrics page."""
        _, _, body = call(self.control, "GET", "/metrics", timeout=2)
        values = re.findall(rf"^{name}(?:{{[^}}]*}})? ([0-9.e+]+)$", body.decode(), re.M)
        return sum(float(value) for value in values)

    def log(self):
        with open(os.path.join(self.rig.temp, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()


def fill(text, fields):
    def value(match):
        found = fields
        for key in match.group(1).split("."):
            found = found[int(key)] if isinstance(found, list) else found[key]
        return str(found)
    return re.sub(r"{{([^}]+)}}", value, text)


def plain_env():
    return {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}


def can_connect(address):
    try:
        socket.create_connection(pair(address), timeout=1).close()
        return True
    except OSError:
        return False


def until(holds, limit_s, what):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if holds():
            return
        time.sleep(0.05)
    raise CannotRun(what)


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def line_block(self):
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return first, headers

    def exactly(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def body(self, headers):
        if "chunked" in headers.get("transfer-encoding", ""):
            parts = []
            while True:
                size = int(self.line().split(b";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return b"".join(parts)
                parts.append(self.exactly(size))
                self.exactly(2)
        return self.exactly(int(headers.get("content-length", "0")))


def call(address, method, path, body=None, headers=None, timeout=5):
    """One request on a new connection. Returns status, headers and body."""
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    with socket.create_connection(pair(address), timeout=timeout) as sock:
        sock.settimeout(timeout)
        sock.sendall(request_head(method, path, {"Host": "x", **(headers or {})}, len(data)) + data)
        reader = Reader(sock)
        try:
            first, answer = reader.line_block()
            return int(first.split()[1]), answer, reader.body(answer)
        except EOFError:
            return None, {}, b""


def request_head(method, path, headers, length):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if length or method != "GET":
        lines += ["Content-Type: application/json", f"Content-Length: {length}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Ids:
    """Attempt ids, each used once."""

    def __init__(self):
        self.lock, self.next = threading.Lock(), int.from_bytes(os.urandom(6), "big") << 16

    def new(self):
        with self.lock:
            self.next += 1
            return f"{self.next:016x}"


IDS = Ids()


class Server:
    """An application server on a sidecar machine, with heartbeats to the node beside it."""

    def __init__(self, machine, instance, work_s=0.02, slots=90, born=None, answer=None):
        self.machine, self.record = machine, machine.rig.record
        self.instance, self.work_s, self.slots = instance, work_s, slots
        self.born = born if born is not None else int(time.time() * 1000)
        self.answer = answer
        self.state, self.sequence = "ready", 0
        self.runs = []
        self.lock = threading.Lock()
        self.running = 0
        self.stopped = threading.Event()
        self.connections = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(pair(machine.app))
        self.listener.listen(512)
        machine.server = self
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections.add(sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                first, headers = reader.line_block()
                method, path, _ = first.split(" ")
                if path == "/health":
                    self.health(sock)
                    continue
                wanted = headers.get("x-jujubeline-target-instance")
                if wanted not in (None, self.instance):
                    reader.body(headers)
                    sock.sendall(self.head(421, {"X-Jujubeline-Attempt-Id": headers.get("x-jujubeline-attempt-id", ""),
                                                 "X-Jujubeline-Instance-Id": self.instance}, 0))
                    continue
                if self.answer:
                    if not self.answer(self, sock, reader, method, path, headers):
                        return
                    continue
                self.run(sock, reader, method, path, headers)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.connections.discard(sock)
            sock.close()

    def run(self, sock, reader, method, path, headers):
        """Runs a request: reads it whole, works, answers."""
        body = reader.body(headers)
        attempt = headers.get("x-jujubeline-attempt-id", "")
        self.note_run(attempt, method, path, body)
        with self.lock:
            self.running += 1
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1
        data = f"answer to {attempt}".encode()
        sock.sendall(self.head(200, self.common(attempt), len(data)) + data)
        self.record.write(f"{self.instance}: answered {attempt}")

    def note_run(self, attempt, method, path, body):
        with self.lock:
            self.runs.append((time.monotonic(), attempt))
        self.record.write(f"{self.instance}: runs {attempt} {method} {path} body {len(body)} B")

    def common(self, attempt):
        return {"X-Jujubeline-Attempt-Id": attempt, "X-Jujubeline-Response-Seal": f"seal-{attempt}",
                "X-Jujubeline-Server-Load": f"{self.running},0,{self.slots}"}

    def health(self, sock):
        status = 200 if self.state == "ready" else 503
        sock.sendall(self.head(status, {"X-Jujubeline-Instance-Id": self.instance,
                                        "X-Jujubeline-Server-Load": f"{self.running},0,{self.slots}"}, 0))

    @staticmethod
    def head(status, headers, length):
        names = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}
        lines = [f"HTTP/1.1 {status} {names.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def heartbeat_body(self, state=None):
        self.sequence += 1
        return {"address": self.machine.app, "born": self.born,
                "info": {"service": self.machine.service, "version": "v1", "zone": self.machine.zone,
                         "slots": self.slots},
                "status": {"state": state or self.state, "sequence": self.sequence, "coldRemainingMs": 0}}

    def notify(self, kind, body):
        """Sends a heartbeat or leave call. Returns whether it was acknowledged within a second."""
        try:
            status, _, _ = call(self.machine.control, "POST", f"/api/instances/{self.instance}/{kind}", body, timeout=1)
        except OSError:
            status = None
        acked = status is not None and 200 <= status < 300
        state = (body or {}).get("status", {}).get("state", "")
        number = (body or {}).get("status", {}).get("sequence", "")
        self.record.write(f"{self.instance}: {kind} {state} {number} -> {status}")
        return acked

    def start_heartbeats(self, period_s=1.5):
        def beat():
            while not self.stopped.wait(period_s):
                self.notify("heartbeat", self.heartbeat_body())
        self.notify("heartbeat", self.heartbeat_body())
        threading.Thread(target=beat, daemon=True).start()

    def stop(self):
        """Ends the server: its connections close and it says nothing more."""
        self.stopped.set()
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for sock in list(self.connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Load:
    """Clients that each send one request after another on new connections."""

    def __init__(self, rig, machine, route, method="GET", clients=4, pause_s=0.05, deadline_ms=5000, body=b""):
        self.rig, self.machine, self.route, self.method = rig, machine, route, method
        self.pause_s, self.deadline_ms, self.body = pause_s, deadline_ms, body
        self.ended = threading.Event()
        self.results = []
        self.threads = [threading.Thread(target=self.client, daemon=True) for _ in range(clients)]
        for thread in self.threads:
            thread.start()

    def client(self):
        while not self.ended.is_set():
            self.send()
            self.ended.wait(self.pause_s)

    def send(self):
        attempt = IDS.new()
        sent = time.monotonic()
        status, seal = None, None
        headers = {"Host": self.route["host"], "X-Jujubeline-Attempt-Id": attempt,
                   "X-Jujubeline-Deadline-Ms": str(self.deadline_ms)}
        path = f"{self.route['pathPrefix']}{attempt}"
        try:
            status, answer, _ = call(self.machine.outbound, self.method, path, self.body or None, headers,
                                     timeout=self.deadline_ms / 1000 + 1)
            seal = answer.get("x-jujubeline-response-seal")
        except OSError:
            pass
        took = time.monotonic() - sent
        self.results.append((sent, attempt, status, seal, took))
        self.rig.record.write(f"client at {self.machine.name}: {attempt} {self.route['name']} -> {status} "
                              f"after {took * 1000:.0f} ms")

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join(self.deadline_ms / 1000 + 3)


def route(name, service, kind="safe", timeout_ms=5000, priority=2, attempts=2, prefix=None):
    return {"name": name, "host": "hulo84.example", "pathPrefix": prefix or f"/{name}/", "type": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": 1000, "priority": priority, "maxAttempts": attempts,
            "service": service}


# A script ends itself, and all that it started, after this time.
MAX_RUN_S = 110


def main(folder, case):
    """Runs a case, which returns whether the rule was broken, and exits with 1, 0 or 2."""
    rig = Rig(folder)

    def give_up(*_):
        rig.close()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, give_up)
    watchdog = threading.Timer(MAX_RUN_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    code = 2
    try:
        broken = case(rig)
        rig.record.write("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except CannotRun as why:
        print(f"cannot run: {why}", file=sys.stderr)
        rig.record.write(f"cannot run: {why}")
    except BaseException:  # An error of the script says nothing about the rule.
        traceback.print_exc()
    finally:
        rig.close()
        sys.stdout.flush()
        os._exit(code)
