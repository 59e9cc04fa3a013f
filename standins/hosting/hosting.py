"""Stand-ins of the users' platform at the level of its protocol: the store (keyed topics, conditional appends, waiting reads) and replicas
(reports, orders with fences and counts, streams of events). Scaffolding for tests/hosted; not shipped. Each keeps what it saw, and a list of
violations of the platform's rules, which a test expects to be empty."""
import base64
import json
import random
import socket
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

STORE_ANSWER_SECONDS = 0.004  # the platform's append latency


class Server:
    """An HTTP server on loopback whose requests go to handle(request) -> None."""

    def __init__(self):
        outer = self
        self.open_connections = set()
        self.repeats_refusals = None  # "before the next answer" or "while idle"
        self.repeated = 0
        self.silent_ports = set()  # of clients whose requests are read and not answered

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            refusal = b""  # the last one of this connection
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                outer.open_connections.add(self.connection)

            def finish(self):
                outer.open_connections.discard(self.connection)
                super().finish()

            def log_message(self, *_args):
                pass

            def any_method(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.body = self.rfile.read(length)
                if outer.repeats_refusals == "before the next answer":
                    self.repeat_refusal()
                while self.client_address[1] in outer.silent_ports:
                    time.sleep(0.02)
                outer.handle(self)
                if outer.repeats_refusals == "while idle":
                    time.sleep(0.005)
                    self.repeat_refusal()

            def repeat_refusal(self):
                """Writes the last refusal of this connection once more, as a faulty replica does."""
                if self.refusal:
                    self.wfile.write(self.refusal)
                    outer.repeated += 1
                self.refusal = b""

            do_GET = do_POST = do_DELETE = any_method

            def answer(self, status, body=b"", headers=()):
                if status >= 400:
                    lines = ["HTTP/1.1 %d Refused" % status, *("%s: %s" % field for field in headers), "Content-Length: %d" % len(body), "", ""]
                    self.refusal = "\r\n".join(lines).encode() + body
                self.send_response(status)
                for name, value in [*headers, *outer.common_headers()]:
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def answer_json(self, status, value, headers=()):
                self.answer(status, json.dumps(value).encode(), [("Content-Type", "application/json"), *headers])

        class Quiet(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_args):
                pass  # a client that went away

        self.http = Quiet(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.http.server_address[1]
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def common_headers(self):
        """Header fields of every answer."""
        return []

    def close(self):
        self.http.shutdown()
        self.http.server_close()


class Store(Server):
    def __init__(self):
        self.changed = threading.Condition()
        self.topics = {}  # name -> list of (key, value)
        self.down = False
        self.topics_down = set()
        self.calls = 0
        self.era = 1
        self.endless_listings = False  # each page of a listing says that there are more
        super().__init__()

    def common_headers(self):
        return [("Store-Era", str(self.era))]

    def rewind(self, lengths):
        """Comes back as an earlier copy: each topic named keeps only its first records, and their offsets are given out again."""
        with self.changed:
            for topic, length in lengths.items():
                del self.topics[topic][length:]
            self.era += 1
            self.changed.notify_all()

    def put(self, topic, key, value):
        with self.changed:
            key = key.decode(errors="surrogateescape") if isinstance(key, bytes) else key
            self.topics.setdefault(topic, []).append((key, value if isinstance(value, bytes) else json.dumps(value).encode()))
            self.changed.notify_all()

    def handle(self, request):
        url = urlparse(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls += 1
        if self.down or query.get("topic") in self.topics_down:
            request.answer(503)
            return
        time.sleep(STORE_ANSWER_SECONDS)
        call = url.path.rsplit("/", 1)[-1]
        {"log-append": self.append, "log-read": self.read, "log-newest": self.newest}[call](request, query)

    def append(self, request, query):
        records = []
        body = request.body
        while body:
            (length,) = struct.unpack(">I", body[:4])
            content, body = body[4 : 4 + length], body[4 + length :]
            key_length = content[0]
            records.append((content[1 : 1 + key_length].decode(), content[1 + key_length :]))
        with self.changed:
            topic = self.topics.setdefault(query["topic"], [])
            if "at" in query and int(query["at"]) != len(topic):
                request.answer_json(412, {"end_offset": len(topic)})
                return
            offset = len(topic)
            topic.extend(records)
            self.changed.notify_all()
        request.answer_json(200, {"offset": offset, "end_offset": offset + len(records)})

    def read(self, request, query):
        start = int(query["start_key"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.changed:
            era = self.era
            while len(self.topics.get(query["topic"], [])) <= start and time.monotonic() < until and not self.down and era == self.era:
                self.changed.wait(until - time.monotonic())
            topic = self.topics.get(query["topic"], [])
            page = topic[start:]
        if start > len(topic):
            request.answer_json(410, {"start_offset": 0})
            return
        answer = struct.pack(">QQ", len(topic), 0)
        for key, value in page:
            raw = key.encode(errors="surrogateescape")
            content = bytes([min(len(raw), 255)]) + raw + value
            answer += struct.pack(">I", len(content)) + content
        request.answer(200, answer)

    def newest(self, request, query):
        if self.endless_listings:
            items = [{"key": "%016x" % random.getrandbits(60), "value": base64.b64encode(b"x" * 3000).decode(), "offset": 0} for _ in range(200)]
            request.answer_json(200, {"items": items, "has_more": True, "end_offset": 9})
            return
        with self.changed:
            topic = list(self.topics.get(query["topic"], []))
        items = {}
        for offset, (key, value) in enumerate(topic):
            items[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        items = [item for item in items.values() if item["value"]]
        listing = json.dumps({"items": items, "has_more": False, "end_offset": len(topic)}, ensure_ascii=False)
        request.answer(200, listing.encode(errors="surrogateescape"), [("Content-Type", "application/json")])


class Replica(Server):
    """A model replica; without a model a plain service."""

    def __init__(self, store, name, service, zone, model=None, places=4, events=8, event_seconds=0.02, version="v1", memory_mb=None, sizes=None):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.model, self.places, self.events, self.event_seconds = model, places, events, event_seconds
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.held = {}  # adapter -> time from which it is held
        self.model_of = {}  # adapter -> its base model
        self.memory_mb, self.sizes = memory_mb, sizes or {}  # base model -> megabytes of its weights and of each of its adapters
        self.base_models = {name: 0.0 for name in ([model] if isinstance(model, str) else model or [])}  # -> time from which it is held
        self.model_load_seconds = 0.6
        self.sequence = 0
        self.fence = 0
        self.orders = []  # (time, holder, fence, operation, adapter)
        self.ran = []  # ids of requests
        self.finished = set()  # the same, of those whose answer was written to its end
        self.version = version  # of its software
        self.names_version = False  # in each event, as a line of its own
        self.left = False  # for the tests
        self.streams = []  # (id, id of the stream that it goes on with, version) of streams that got an event here
        self.limit = None  # requests a second, named in all answers
        self.brittle = None  # refusals a second, named in all answers: more of them and it falls over
        self.brittle_since = 0.0
        self.slots = 8  # requests that run at once while it is brittle
        self.work_seconds = 0.0  # of a request to a plain service
        self.room = threading.Condition()
        self.running, self.waiting = 0, 0  # requests, while it is brittle
        self.refusals = []  # times
        self.falls = []  # the same
        self.arrivals = []  # times of requests
        self.crashing_part = None  # of prompts: the connection is reset once the answer has begun
        self.crashing_body = None  # of requests: the connection is reset before the answer
        self.crashed = []  # times of requests with that part or body
        self.refused_share = 0.0  # of requests: 503, not run
        self.names_refused = True  # a refusal names its request
        self.violations = []
        super().__init__()
        self.register()

    def common_headers(self):
        limit = [("Server-Limit", str(self.limit))] if self.limit is not None else []
        return limit + ([("Server-Brittle", str(self.brittle))] if self.brittle is not None else [])

    WAITING = 24  # requests that may wait, until CONTACT_SECONDS after it has become brittle; none after that
    CONTACT_SECONDS = 3.0
    FALLEN_SECONDS = 2.0

    def become_brittle(self, refusals):
        self.brittle_since = time.monotonic()
        self.brittle = refusals

    def take_slot(self):
        """False: the request is refused for want of room, or the replica has fallen over."""
        with self.room:
            few = self.brittle is not None and time.monotonic() - self.brittle_since >= self.CONTACT_SECONDS
            if self.running >= self.slots and self.waiting >= (0 if few else self.WAITING):
                now = time.monotonic()
                self.refusals.append(now)
                if few and sum(1 for moment in self.refusals if now - moment < 1) > self.brittle:
                    self.falls.append(now)
                    self.close_connections()
                return False
            self.waiting += 1
            self.room.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
            return True

    def free_slot(self):
        with self.room:
            self.running -= 1
            self.room.notify()

    def has_fallen(self):
        return bool(self.falls) and time.monotonic() - self.falls[-1] < self.FALLEN_SECONDS

    def register(self, state="ready"):
        models = self.held_models()
        record = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": self.slots, "state": state}
        self.store.put("keyed.servers", self.name, record | {"cold_remaining_ms": 0, "models": models, "sequence": self.sequence, "born": self.born})

    def handle(self, request):
        if request.headers.get("X-Expect-Replica", self.name) != self.name:
            request.answer(421, headers=[("X-Replica-Id", self.name), *self.id_of(request)])
        elif request.path == "/baobabstall/report":
            with self.lock:
                models = self.held_models()
                report = {"phase": "unified", "models": models, "busy": self.is_busy(), "sequence": self.sequence, "queued": 0, "active": 0}
                report["born"] = self.born
            request.answer_json(200, report)
        elif request.path == "/baobabstall/order":
            request.answer(self.order(json.loads(request.body)))
        elif self.has_fallen():
            self.close_connections()
        elif self.work_seconds == 0 and self.brittle is None:
            self.run(request)
        elif not self.take_slot():
            request.answer(503, headers=[("X-Attempt-Id", request.headers.get("X-Attempt-Id")), ("X-Not-Executed", "1")])
        else:
            try:
                time.sleep(self.work_seconds)
                self.run(request)
            finally:
                self.free_slot()

    def held_models(self):
        now = time.monotonic()
        return [{"name": name, "version": 1, "adapters": sorted(each for each in self.held if self.model_of.get(each, name) == name)} for name, at in self.base_models.items() if at <= now]

    def is_busy(self):
        return any(at > time.monotonic() for at in self.base_models.values())

    def check_memory(self, what):
        if self.memory_mb is None:
            return
        used = sum(self.sizes[name][0] for name in self.base_models) + sum(self.sizes[self.model_of[each]][1] for each in self.held)
        if used > self.memory_mb:
            self.violations.append("ordered to load %s: %d of %d MB" % (what, used, self.memory_mb))

    def load_model(self, name):
        if name in self.base_models:
            return 200 if self.base_models[name] <= time.monotonic() else 202
        if self.is_busy():
            return 409
        self.base_models[name] = time.monotonic() + self.model_load_seconds
        self.sequence += 1
        self.check_memory(name)
        return 202

    def id_of(self, request):
        attempt = request.headers.get("X-Attempt-Id")
        return [("X-Attempt-Id", attempt)] if attempt and self.names_refused else []

    def order(self, order):
        with self.lock:
            self.orders.append((time.monotonic(), order["holder"], order["fencing_token"], order["operation"], order.get("adapter")))
            if order["fencing_token"] < self.fence:
                return 412
            self.fence = order["fencing_token"]
            if order.get("expect", self.sequence) != self.sequence:
                return 409
            adapter = order.get("adapter")
            if order["operation"] == "unload":
                if self.held.pop(adapter, None) is not None:
                    self.sequence += 1
                return 200
            if adapter is None:
                return self.load_model(order["model"])
            if adapter in self.held:
                return 200 if self.held[adapter] <= time.monotonic() else 202
            if len(self.held) >= self.places:
                self.violations.append("ordered to load %s beyond its %d places" % (adapter, self.places))
            self.held[adapter] = time.monotonic() + 0.05
            self.model_of[adapter] = order["model"]
            self.sequence += 1
            self.check_memory(adapter)
            return 202

    def run(self, request):
        attempt = request.headers.get("X-Attempt-Id")
        seal = [("X-Attempt-Id", attempt), ("X-Response-Seal", "seal-of-" + attempt)]
        self.arrivals.append(time.monotonic())
        wanted = request.headers.get("X-Model-Id")
        if wanted and "/" in wanted and self.held.get(wanted.split("/")[1], float("inf")) > time.monotonic():
            request.answer(421, headers=[("X-Replica-Id", self.name), *self.id_of(request)])
            return
        if random.random() < self.refused_share:
            request.answer(503, headers=[("X-Not-Executed", "1"), *self.id_of(request)])
            return
        self.ran.append(attempt)
        if self.crashing_body is not None and request.body == self.crashing_body:
            self.crash_under(request)
            return
        if not wanted:
            request.answer_json(200, {"by": self.name, "echo": request.body.decode()}, seal)
            self.finished.add(attempt)
            return
        request.send_response(200)
        for name, value in [*seal, *self.common_headers(), ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]:
            request.send_header(name, value)
        request.end_headers()
        parts = [part.split(":")[0] for part in (request.headers.get("X-Prompt-Prefix") or "").split(",")]
        if self.crashing_part in parts[:-1]:
            request.wfile.write(b"10\r\nid: 1\nda")
            request.wfile.flush()
            self.crash_under(request)
            return
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        version = self.version
        for number in range(first, self.events + 1):
            time.sleep(self.event_seconds)
            if number == first:
                self.streams.append((attempt, request.headers.get("Resumes"), version))
            mark = b"version: %s\n" % version.encode() if self.names_version else b""
            event = b"id: %d\ndata: %s\n%s\n" % (number, attempt.encode(), mark)
            request.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            request.wfile.flush()
        request.wfile.write(b"0\r\n\r\n")
        request.wfile.flush()
        self.finished.add(attempt)

    def restart(self, version):
        """Starts again under the same id; its record stays as it is until register()."""
        with self.lock:
            self.held.clear()
            self.model_of.clear()
            self.sequence = 0
            self.fence = 0
            self.born = int(time.time() * 1000)
            self.version = version
        self.close_connections()

    def close_connections(self):
        for connection in list(self.open_connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # closed already

    def reset_connections(self, ports):
        """Those of clients at these ports."""
        for connection in list(self.open_connections):
            try:
                if connection.getpeername()[1] in ports:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # closed already

    def crash_under(self, request):
        self.crashed.append(time.monotonic())
        request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        request.connection.close()
        request.close_connection = True


class EndlessReplica:
    """A faulty replica: registered like a sound one, it answers each connection with `prefix` and then with `filler` without end."""

    MODES = {
        "status line": (b"HTTP/1.1 200 ", b"x"),
        "header field": (b"HTTP/1.1 200 OK\r\nMore: ", b"x"),
        "header fields": (b"HTTP/1.1 200 OK\r\n", b"More: x\r\n"),
        "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        "chunk size": (b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", b"0"),
        "chunk extension": (b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5;more=", b"x"),
        "trailer": (b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\nMore: ", b"x"),
        "event": (b"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\nid: 1\ndata: ", b"x"),
        "body with length": (b"HTTP/1.1 200 OK\r\n%sContent-Length: 900000000000\r\n\r\n", b"x"),
        "body without length": (b"HTTP/1.1 200 OK\r\n%s\r\n", b"x"),
        "refusal": (b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n%sContent-Length: 900000000000\r\n\r\n", b"x"),
        "error": (b"HTTP/1.1 500 Failed\r\n%sContent-Length: 900000000000\r\n\r\n", b"x"),
        "another request's answer": (b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: s\r\nContent-Length: 900000000000\r\n\r\n", b"x"),
    }
    PIECE_BYTES = 64 * 1024

    def __init__(self, store, name, service, model=None):
        self.mode = "status line"
        self.sends_reports = False  # that end
        self.requests = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        models = [{"name": model, "version": 1, "adapters": ["a1"]}] if model else []
        record = {"service": service, "address": self.address, "zone": "a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0}
        store.put("keyed.servers", name, record | {"models": models, "sequence": 0, "born": int(time.time() * 1000)})
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                piece = connection.recv(65536)
                if not piece:
                    return
                head += piece
            self.requests += 1
            attempt = next((line.split(b": ")[1] for line in head.split(b"\r\n") if line.lower().startswith(b"x-attempt-id: ")), b"none")
            prefix, filler = self.MODES[self.mode]
            fields = b"X-Attempt-Id: %s\r\nX-Response-Seal: seal-of-%s\r\n" % (attempt, attempt)
            connection.sendall(prefix.replace(b"%s", fields))
            filler *= self.PIECE_BYTES // len(filler)
            while True:
                connection.sendall(filler)
        except OSError:
            pass  # the client closed
        finally:
            connection.close()

    def close(self):
        self.listener.close()


def configuration(version, routes_to="llm"):
    stream = {"name": "r1", "host": "h.example", "path_prefix": "/gen/", "type": "streaming", "timeout_ms": 8000, "target_latency_ms": 800}
    stream |= {"priority": 0, "service": routes_to, "max_attempts": 2, "session_affinity": True, "resumable": True, "target_itl_ms": 600}
    plain = {"name": "r2", "host": "h.example", "path_prefix": "/book/", "type": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 300}
    plain |= {"priority": 2, "service": "shop", "max_attempts": 1}
    read = {"name": "r3", "host": "h.example", "path_prefix": "/look/", "type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 300}
    read |= {"priority": 2, "service": "shop", "max_attempts": 2}
    runtime = {"slots": 8, "kv_capacity": 1000, "weights_mb": 70000.0, "max_adapters": 4, "loads_per_s": 5.0}
    runtime["models"] = [{"name": "base", "weights_mb": 65000.0, "load_time_s": 2.0, "adapters": 100, "adapter_mb": 12.0, "disk_load_s": 1.0}]
    services = [{"name": "llm", "health_path": "/healthz", "max_connections": 200, "protocol": "h1", "tls": False, "runtime": runtime}]
    services.append({"name": "shop", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": False})
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": version, "routes": [stream, plain, read], "services": services, "limits": limits}
