"""Stand-ins of the platform's store, of engines and of clients, and a small deployment of router processes.

Everything listens on loopback addresses at free ports. The stand-ins follow PROTOCOL.md; `Deployment` starts the
command of deploy/system.toml with settings rendered from deploy/router.ini.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
BOUNDS = {
    "drain_ms": 2500, "grace_s": 8, "contact_ms": 4000, "config_apply_ms": 2500,
    "retry_ratio": 0.2, "retry_slack": 54, "retry_window_s": 10,
}


class Record:
    """The lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, line):
        with self.lock:
            print(f"{self.now():8.3f} s  {line}", file=self.file, flush=True)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """A connection that its peer broke off is no error of the stand-in."""


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class Store:
    """Object store with revisions, lists and watches; it keeps its history for HISTORY_S."""

    HISTORY_S = 20

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 100
        self.objects = {}
        self.history = []
        self.compacted = 0
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.get(self)

            def do_POST(self):
                store.create(self)

            def do_PUT(self):
                store.replace(self)

        self.server = Server(("127.0.0.1", 0), StoreHandler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """Writes an object as the operator or an engine does; returns once the write is confirmed."""
        with self.changed:
            return self._write(kind, name, spec)

    def delete(self, kind, name):
        with self.changed:
            object_ = self.objects.pop((kind, name), None)
            if object_:
                self.revision += 1
                self.remember(kind, True, object_)

    def _write(self, kind, name, spec):
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known["metadata"]["created"] if known else self.revision
        object_ = {
            "metadata": {"name": name, "revision": self.revision, "created": created,
                         "finalizers": [], "deletion_pending": False},
            "spec": spec, "status": None,
        }
        self.objects[(kind, name)] = object_
        self.remember(kind, False, object_)
        return object_

    def remember(self, kind, is_deleted, object_):
        self.history.append((time.monotonic(), self.revision, kind, is_deleted, object_))
        self.changed.notify_all()

    def forget(self):
        oldest = time.monotonic() - self.HISTORY_S
        while self.history and self.history[0][0] < oldest:
            self.compacted = self.history.pop(0)[1]

    def get(self, handler):
        url = urlsplit(handler.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/v1/objects/").partition("/")
        if name:
            with self.changed:
                found = self.objects.get((kind, name))
            self.reply(handler, 200 if found else 404, found)
        elif "watch" in query:
            self.watch(handler, kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        else:
            with self.changed:
                after = query.get("after", "")
                items = [self.objects[key] for key in sorted(self.objects) if key[0] == kind and key[1] > after]
                page = {"items": items, "has_more": False, "at": self.revision}
            self.reply(handler, 200, page)

    def watch(self, handler, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                self.forget()
                if since < self.compacted:
                    break
                events = [{"deleted": deleted, "object": object_}
                          for _, revision, of, deleted, object_ in self.history if of == kind and revision > since]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                self.changed.wait(left)
            gone = since < self.compacted
            batch = None if gone else {"events": events, "at": self.revision}
        self.reply(handler, 410 if gone else 200, batch)

    def create(self, handler):
        body = json.loads(handler.read_body())
        kind, name = urlsplit(handler.path).path.removeprefix("/v1/objects/"), body["metadata"]["name"]
        with self.changed:
            known = self.objects.get((kind, name))
            found = known or self._write(kind, name, body["spec"])
        self.reply(handler, 409 if known else 200, found)

    def replace(self, handler):
        body = json.loads(handler.read_body())
        kind, _, name = urlsplit(handler.path).path.removeprefix("/v1/objects/").partition("/")
        with self.changed:
            known = self.objects.get((kind, name))
            if known is None:
                status, found = 404, None
            elif body["metadata"].get("revision") not in (None, known["metadata"]["revision"]):
                status, found = 409, known
            else:
                status, found = 200, self._write(kind, name, body["spec"])
        self.reply(handler, status, found)

    @staticmethod
    def reply(handler, status, body):
        handler.answer(status, json.dumps(body).encode(), [("Content-Type", "application/json")])


class Engine:
    """Engine that answers each request at once, and records what it runs."""

    def __init__(self, record, name, service="pool"):
        self.name, self.service, self.record = name, service, record
        self.runs = []
        engine = self

        class EngineHandler(Handler):
            def do_GET(self):
                engine.handle(self)

            do_POST = do_GET

        self.server = Server(("127.0.0.1", 0), EngineHandler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def registration(self, state="ready"):
        return {
            "service": self.service, "address": self.address, "zone": "zone-a", "version": "v1", "slots": 8,
            "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1_790_000_000_000,
        }

    def handle(self, handler):
        body = handler.read_body()
        attempt = handler.headers.get("X-Almondwell-Attempt-Id")
        echo = [("X-Almondwell-Attempt-Id", attempt)] if attempt else []
        if handler.headers.get("X-Almondwell-Expected-Instance") not in (None, self.name):
            handler.answer(421, headers=echo + [("X-Almondwell-Instance-Id", self.name)])
            return
        if not attempt:
            handler.answer(400, headers=[("X-Almondwell-Not-Executed", "1")])
            return
        run = {
            "attempt": attempt, "at": self.record.now(), "method": handler.command, "target": handler.path,
            "tenant": handler.headers.get("X-Almondwell-Tenant-Name"), "body": body,
        }
        self.runs.append(run)
        self.record.write(f"engine {self.name} runs {attempt}: {run['method']} {run['target']}, tenant {run['tenant']}")
        self.respond(handler, run, echo + [("X-Almondwell-Response-Signature", f"seal.{self.name}")])

    def respond(self, handler, _run, headers):
        handler.answer(200, b"done", headers)


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


def read_answer(connection):
    """Reads one answer with a length or in chunks; `None` if the connection ends before a head."""
    stream = connection.makefile("rb")
    try:
        line = stream.readline()
        if not line:
            return None
        headers = {}
        while (field := stream.readline().strip()):
            name, _, value = field.decode().partition(":")
            headers[name.lower()] = value.strip()
        status = int(line.split()[1])
        body = b""
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = stream.readline()
                if not size.strip():
                    return Answer(status, headers, body, False)
                size = int(size, 16)
                part = stream.read(size)
                body += part
                if len(part) < size or len(stream.readline()) < 2:
                    return Answer(status, headers, body, False)
                if size == 0:
                    return Answer(status, headers, body, True)
        length = int(headers.get("content-length", 0))
        body = stream.read(length)
        return Answer(status, headers, body, len(body) == length)
    except OSError:
        return None


class Client:
    """Sends requests, each with its own attempt id, and records what comes back."""

    def __init__(self, record):
        self.record, self.count = record, 0
        self.lock = threading.Lock()

    def send(self, address, method, target, key=None, body=b"", deadline_ms=5000, headers=()):
        with self.lock:
            self.count += 1
            attempt = f"{self.count:016x}"
        fields = [("Host", HOST), ("X-Almondwell-Attempt-Id", attempt),
                  ("X-Almondwell-Deadline-Ms", str(deadline_ms)), *headers]
        if key:
            fields.append(("Authorization", f"Token {key}"))
        if body:
            fields.append(("Content-Length", str(len(body))))
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n"
        self.record.write(f"client sends {attempt}: {method} {target}, key {key}")
        host, port = address.split(":")
        answer = None
        try:
            with socket.create_connection((host, int(port)), 1) as connection:
                connection.settimeout(deadline_ms / 1000 + 1)
                connection.sendall(head.encode() + body)
                answer = read_answer(connection)
        except OSError as error:
            self.record.write(f"client got no answer to {attempt}: {error}")
            return attempt, None
        if answer:
            state = "whole" if answer.complete else "cut"
            self.record.write(f"client gets {answer.status} for {attempt}, body {answer.body[:60]!r}, {state}")
        else:
            self.record.write(f"client's connection ended without an answer to {attempt}")
        return attempt, answer


class Router:
    """One router process, started with the command of the deploy file."""

    def __init__(self, index, settings):
        self.settings = settings
        self.folder = tempfile.mkdtemp(prefix="review-")
        path = os.path.join(self.folder, "settings.toml")
        Path(path).write_text(render((ROOT / "deploy/router.ini").read_text(), settings), encoding="utf-8")
        command = re.search(r'^run = "(.*)"', (ROOT / "deploy/system.toml").read_text(), re.M).group(1).split()
        command = [path if word.endswith("settings.toml") else word for word in command]
        self.log = open(os.path.join(self.folder, "log"), "wb")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=self.log, stderr=self.log,
                                        env={**os.environ, "ALMONDWELL_SETTINGS": path})
        self.callers, self.ready = settings["listen"]["frontend"], settings["listen"]["ready"]
        self.index = index

    def is_ready(self):
        host, port = self.ready.split(":")
        try:
            with socket.create_connection((host, int(port)), 1) as connection:
                connection.settimeout(1)
                connection.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                answer = read_answer(connection)
                return answer is not None and answer.status == 200
        except OSError:
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def render(template, settings):
    """Fills in the few forms of placeholders that deploy/router.ini uses."""
    zones = ",".join(f"{zone}={region}" for zone, region in settings["zones"].items())
    template = re.sub(r"{{#zones}}.*{{/zones}}", zones, template)

    def look_up(path):
        found = settings
        for key in path.split("."):
            found = found[int(key) if isinstance(found, list) else key]
        return found

    def section(match):
        """Rendered once if the value, which is no list or table, is present and not false."""
        try:
            found = look_up(match.group(1))
        except KeyError:
            return ""
        return match.group(2).replace("{{.}}", str(found)) if found is not False else ""

    def value(match):
        found = look_up(match.group(1))
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    template = re.sub(r"{{#([a-z_0-9.]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([a-z_0-9.]+)}}", value, template)


class Deployment:
    """A store, and router processes that use it."""

    def __init__(self, record, routers=1, store=None):
        self.record = record
        self.store = store or Store()
        self.routers = []
        controls = [f"127.0.0.1:{free_port()}" for _ in range(routers)]
        self.settings = [{
            "node_name": f"edge-zone-a-{index + 1}", "zone": "zone-a", "region": "region-a",
            "zones": {"zone-a": "region-a"}, "ip": "127.0.0.1", "port_range": [free_port()], "seeds": controls[:3],
            "listen": {"frontend": f"127.0.0.1:{free_port()}", "ready": f"127.0.0.1:{free_port()}",
                       "control": controls[index]},
            "platform": {"address": self.store.address}, "bounds": BOUNDS,
        } for index in range(routers)]

    def start(self):
        # `timeout` ends a case that takes too long with SIGTERM; the processes still have to be ended then.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        for index, settings in enumerate(self.settings):
            self.routers.append(Router(index, settings))
            self.record.write(f"router {index + 1} started, process {self.routers[-1].process.pid}")
        until = time.monotonic() + 10
        while not all(router.is_ready() for router in self.routers):
            if time.monotonic() > until:
                raise RuntimeError("the routers are not ready within 10 s")
            time.sleep(0.05)
        self.record.write("all routers are ready")

    def stop(self):
        for router in self.routers:
            router.stop()
        self.record.write("all routers ended")


def route(name, prefix, kind, **changes):
    return {
        "name": name, "host": HOST, "path_prefix": prefix, "route_type": kind, "timeout_ms": 3000,
        "target_latency_ms": 300, "priority": 1, "service": "pool", "max_attempts": 2, "public": False,
        "session_affinity": False, "stream_resume": False, "target_gap_ms": 1000, **changes,
    }


def manifest(version, routes, tenants):
    return {
        "version": version, "routes": routes,
        "services": [{"name": "pool", "health_path": "/healthz", "max_connections": 100, "protocol": "h1",
                      "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": tenants,
    }
