"""Stand-ins for the scripts under review/: the platform (starts daemons from the deploy file's template, its store, its load balancer's
health checks), replicas and clients, as the users' pages describe them. One asyncio loop, loopback addresses only, the real clock.

    world = World(folder)                 # record.txt is written there
    host = world.add_host("edge-a-1", "a")
    store.put("keyed.op", "config", {...})
    await host.start()

What a page leaves open behaves like a sound server, client or platform."""
import asyncio
import base64
import bisect
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
APPEND_SECONDS = 0.004  # append_latency_ms of the deployments
REPORT_LAG_SECONDS = 0.2  # a report's values are as of some hundred ms ago
HEARTBEAT_SECONDS = 1.2
BOUNDS = {"lease_ms": 3000, "config_apply_ms": 2000, "drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2, "budget_slack": 56, "contact_ms": 3000, "loss_slack_ms": 200}


# ---- HTTP/1.1 ----


class Message:
    def __init__(self, first, fields, body):
        self.first, self.fields, self.body = first, fields, body

    def field(self, name, default=None):
        return next((value for key, value in self.fields if key.lower() == name.lower()), default)


async def read_message(reader):
    """Nothing at the end of the connection. Raises when it ends within a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    message = Message(lines[0].split(" ", 2), fields, b"")
    if (message.field("Transfer-Encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return message
            message.body += chunk[:-2]
    message.body = await reader.readexactly(int(message.field("Content-Length") or 0))
    return message


def answer_bytes(status, body=b"", fields=()):
    lines = ["HTTP/1.1 %d %s" % (status, "OK" if status == 200 else "Status"), *("%s: %s" % field for field in fields), "Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """handle(message, writer, peer) writes an answer. Connections stay open."""

    def __init__(self):
        self.writers = set()
        self.server = None
        self.address = None

    async def listen(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=8 * 1024 * 1024)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            while True:
                await self.handle(await read_message(reader), writer, reader)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self):
        for writer in list(self.writers):
            reset(writer)

    async def close(self):
        if self.server:
            self.server.close()
        self.reset_connections()


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# ---- The platform's store ----


class Store(Server):
    """Keyed topics of one partition: conditional appends, waiting reads, newest records by page."""

    PAGE_RECORDS, PAGE_BYTES = 500, 1_000_000

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.newest = {}
        self.sorted_keys = {}  # topic -> keys, until one comes or goes
        self.appended = []  # (time, topic, offset, key, value) of appends by the system
        self.changed = asyncio.Condition()
        self.append_lock = asyncio.Lock()
        self.slow = None  # function(client port, call) -> seconds that an answer takes more

    async def put(self, topic, key, value):
        await self.store(topic, [(key.encode(), value if isinstance(value, bytes) else json.dumps(value).encode())])

    async def store(self, topic, records):
        async with self.changed:
            log = self.topics.setdefault(topic, [])
            for key, value in records:
                log.append((key, value))
                held = self.newest.setdefault(topic, {})
                if (key in held) != bool(value):
                    self.sorted_keys.pop(topic, None)
                if value:
                    held[key] = (len(log) - 1, value)
                else:
                    held.pop(key, None)
            self.changed.notify_all()

    async def handle(self, message, writer, _reader):
        path, _, text = message.first[1].partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if part)
        call = path.rsplit("/", 1)[-1]
        extra = self.slow(writer.get_extra_info("peername")[1], call, query) if self.slow else 0
        answer = await {"log-append": self.append, "log-read": self.read, "log-newest": self.list_newest}[call](query, message.body)
        await asyncio.sleep(APPEND_SECONDS + extra)
        writer.write(answer)

    async def append(self, query, body):
        records = []
        while body:
            (length,) = struct.unpack(">I", body[:4])
            content, body = body[4 : 4 + length], body[4 + length :]
            records.append((content[1 : 1 + content[0]], content[1 + content[0] :]))
        async with self.append_lock:
            offset = len(self.topics.setdefault(query["topic"], []))
            if "at" in query and int(query["at"]) != offset:
                return answer_bytes(412, json.dumps({"end_offset": offset}).encode(), [("Content-Type", "application/json")])
            await self.store(query["topic"], records)
            self.appended += [(time.monotonic(), query["topic"], offset + place, key, value) for place, (key, value) in enumerate(records)]
        return answer_bytes(200, json.dumps({"offset": offset, "end_offset": offset + len(records)}).encode(), [("Content-Type", "application/json")])

    async def read(self, query, _body):
        start, until = int(query["start_key"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        log = self.topics.setdefault(query["topic"], [])
        async with self.changed:
            while len(log) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
        body = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            body += struct.pack(">I", 1 + len(key) + len(value)) + bytes([len(key)]) + key + value
            if len(body) > 1024 * 1024:
                break
        return answer_bytes(200, body)

    async def list_newest(self, query, _body):
        after = re.sub("%([0-9A-F]{2})", lambda found: chr(int(found[1], 16)), query.get("after", "")).encode("latin-1")
        items, size, has_more = [], 0, False
        held = self.newest.get(query["topic"], {})
        keys = self.sorted_keys.setdefault(query["topic"], sorted(held))
        for place in range(bisect.bisect_right(keys, after) if "after" in query else 0, len(keys)):
            key = keys[place]
            offset, value = held[key]
            if len(items) == self.PAGE_RECORDS or size > self.PAGE_BYTES:
                has_more = True
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
        page = {"items": items, "has_more": has_more, "end_offset": len(self.topics.get(query["topic"], []))}
        return answer_bytes(200, json.dumps(page).encode(), [("Content-Type", "application/json")])


# ---- Replicas ----


class ModelReplica(Server):
    """A model replica: orders, adapters, reports, streams of events."""

    def __init__(self, world, name, zone, spec, model=None):
        super().__init__()
        self.world, self.name, self.zone, self.spec = world, name, zone, spec
        self.models = {each: set() for each in ([model] if isinstance(model, str) else model or [])}  # name -> adapters held
        self.loading = None  # base model on its way: (name, end)
        self.pending = {}  # (model, adapter) -> end
        self.sequence, self.fence = 0, 0
        self.running = []  # (attempt, model, adapter)
        self.orders = []  # (time, holder, token, operation, model, adapter, status)
        self.ran = {}  # attempt -> times that it began here
        self.overloads = []  # orders to load more than it holds
        self.born = int(time.time() * 1000)
        self.state, self.is_up = "ready", False
        self.past = []  # (time, report)
        self.event_seconds = 0.05

    async def start(self):
        await self.listen()
        self.is_up = True
        await self.beat()
        self.world.spawn(self.beat_on())
        self.world.spawn(self.sample())

    def mb_used(self):
        models = {**self.models, **({self.loading[0]: set()} if self.loading else {})}
        adapters = sum(len(held) for held in self.models.values()) + len(self.pending)
        return sum(self.spec["models"][name]["weights_mb"] for name in models) + self.spec["adapter_mb"] * adapters

    def settle(self):
        now = time.monotonic()
        if self.loading and now >= self.loading[1]:
            self.models[self.loading[0]] = set()
            self.loading = None
        for (model, adapter), end in list(self.pending.items()):
            if now >= end:
                self.models[model].add(adapter)
                del self.pending[(model, adapter)]

    def models_text(self):
        return [{"name": name, "version": 1, "adapters": sorted("%s@1" % each for each in held)} for name, held in self.models.items()]

    def report_now(self):
        self.settle()
        return {
            "phase": "unified",
            "models": self.models_text(),
            "busy": self.loading is not None,
            "sequence": self.sequence,
            "queued": 0,
            "active": len(self.running),
            "kv_used": 0,
            "kv_total": 250000,
            "supported_models": 0,
            "born": self.born,
            "pending": ["%s/%s@1" % key for key in self.pending],
        }

    async def beat(self):
        self.settle()
        record = {"service": self.spec["service"], "address": self.address, "zone": self.zone, "version": "v1", "slots": self.spec["slots"], "state": self.state}
        record |= {"cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born, "phase": "unified", "models": self.models_text()}
        if record != getattr(self, "last_beat", None):  # the entry changes when more than `sequence` changes
            self.last_beat = record
            await self.world.store.put("keyed.servers", self.name, record)

    async def beat_on(self):
        while self.is_up:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.is_up:
                await self.beat()

    async def crash(self):
        self.is_up = False
        self.world.note("replica %s crashed, running: %s" % (self.name, [attempt for attempt, _, _ in self.running]))
        await self.close()

    async def handle(self, message, writer, reader):
        if message.field("X-Expect-Replica", self.name) != self.name:
            writer.write(answer_bytes(421, b"", [("X-Replica-Id", self.name), ("X-Attempt-Id", message.field("X-Attempt-Id", ""))]))
        elif message.first[1] == "/baobabstall/report":
            writer.write(answer_bytes(200, json.dumps(self.report()).encode(), [("Content-Type", "application/json")]))
        elif message.first[1] == "/baobabstall/order":
            order = json.loads(message.body)
            status = self.order(order)
            entry = (time.monotonic(), order["holder"], order["fencing_token"], order["operation"], order["model"], order.get("adapter"), status)
            self.orders.append(entry)
            self.world.note("order at %s: %s %s/%s from %s, token %d, expect %s -> %s" % (self.name, order["operation"], order["model"], order.get("adapter"), order["holder"], order["fencing_token"], order.get("expect"), status))
            if status is None:
                await self.crash()
                raise ConnectionResetError
            writer.write(answer_bytes(status))
        else:
            await self.run(message, writer)

    async def sample(self):
        while self.is_up:
            self.past.append((time.monotonic(), self.report_now()))
            del self.past[:-20]
            await asyncio.sleep(0.05)

    def report(self):
        """As of REPORT_LAG_SECONDS ago."""
        old = [report for at, report in self.past if at <= time.monotonic() - REPORT_LAG_SECONDS]
        return old[-1] if old else self.past[0][1]

    def order(self, order):
        """The status; nothing when the replica crashes, as it was ordered to load more than it holds."""
        self.settle()
        if order["fencing_token"] < self.fence:
            return 412
        self.fence = order["fencing_token"]
        model, adapter = order["model"], order.get("adapter")
        if order["operation"] == "model_load" and adapter is None and model in self.models:
            return 200
        if order["operation"] == "model_load" and adapter is not None and adapter in self.models.get(model, ()):
            return 200
        if self.loading and order["operation"] == "model_load" and (model, adapter) == (self.loading[0], None):
            return 202  # it is being carried out
        if self.loading or order.get("expect", self.sequence) != self.sequence:
            return 409
        if order["operation"] == "unload":
            return self.unload(model, adapter)
        if adapter is None:
            self.loading = (model, time.monotonic() + self.spec["models"][model]["load_time_s"])
        elif model not in self.models:
            return 400
        elif (model, adapter) in self.pending:
            return 202
        elif len(self.pending) >= 4:
            return 409
        else:
            self.pending[(model, adapter)] = time.monotonic() + 0.25
        self.sequence += 1
        adapters = sum(len(held) for held in self.models.values()) + len(self.pending)
        if self.mb_used() > self.spec["weights_mb"] or adapters > self.spec["max_adapters"]:
            self.overloads.append("%s: ordered to load %s by %s with %s held and loading: %.0f MB and %d adapters of %.0f MB and %d" % (self.name, model if adapter is None else model + "/" + adapter, order["holder"], [*self.models, *([self.loading[0]] if self.loading else [])], self.mb_used(), adapters, self.spec["weights_mb"], self.spec["max_adapters"]))
            return None
        return 202

    def unload(self, model, adapter):
        if adapter is None or any(running[1:] == (model, adapter) for running in self.running):
            return 409  # here: no base model is ever unloaded, and an adapter in use stays
        if adapter in self.models.get(model, ()):
            self.models[model].discard(adapter)
            self.sequence += 1
        return 200

    def holds(self, model, adapter):
        self.settle()
        return model in self.models and (not adapter or adapter in self.models[model])

    async def run(self, message, writer):
        attempt = message.field("X-Attempt-Id")
        model, _, adapter = (message.field("X-Model-Id") or "").partition("/")
        named = [("X-Attempt-Id", attempt)]
        if not self.holds(model, adapter):
            writer.write(answer_bytes(421, b"", [("X-Replica-Id", self.name), *named]))
            return
        if len(self.running) >= self.spec["slots"]:
            writer.write(answer_bytes(503, b"", [("X-Not-Executed", "1"), *named]))
            return
        entry = (attempt, model, adapter)
        self.running.append(entry)
        self.ran[attempt] = self.ran.get(attempt, 0) + 1
        self.world.note("%s runs at %s" % (attempt, self.name))
        events, pause = int(message.field("X-Test-Events", "10")), float(message.field("X-Test-Pause-Ms", str(self.event_seconds * 1000))) / 1000
        try:
            fields = [*named, ("X-Response-Seal", "seal." + attempt), ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
            writer.write(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % field for field in fields) + "\r\n").encode())
            for number in range(int(message.field("Last-Event-Id", "0")) + 1, events + 1):
                await asyncio.sleep(pause)
                event = b"id: %d\ndata: %s by %s\n\n" % (number, attempt.encode(), self.name.encode())
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running.remove(entry)


class PlainReplica(Server):
    """A replica of a plain service."""

    def __init__(self, world, name, service, zone, slots=6):
        super().__init__()
        self.world, self.name, self.service, self.zone, self.slots = world, name, service, zone, slots
        self.born, self.ran, self.work_seconds = int(time.time() * 1000), {}, 0.03

    async def start(self):
        await self.listen()
        record = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots, "state": "ready"}
        await self.world.store.put("keyed.servers", self.name, record | {"cold_remaining_ms": 0, "sequence": 0, "born": self.born})

    async def handle(self, message, writer, _reader):
        attempt = message.field("X-Attempt-Id", "")
        if message.field("X-Expect-Replica", self.name) != self.name:
            writer.write(answer_bytes(421, b"", [("X-Replica-Id", self.name), ("X-Attempt-Id", attempt)]))
            return
        self.ran[attempt] = self.ran.get(attempt, 0) + 1
        await asyncio.sleep(self.work_seconds)
        writer.write(answer_bytes(200, b"done " + attempt.encode(), [("X-Attempt-Id", attempt), ("X-Response-Seal", "seal." + attempt)]))


# ---- Entry hosts ----


def render(text, values):
    """The template language as far as the deploy file's template uses it: values, also as JSON, and sections of a value that may be missing."""

    def value_of(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def section(found):
        try:
            value = value_of(found[1])
        except KeyError:
            return ""
        return "" if value is None or value is False else found[2]

    def replaced(found):
        path, _, form = found[1].partition("|")
        value = value_of(path)
        return json.dumps(value) if form == "json" else str(value)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", replaced, text)


def free_ip(ports):
    """A loopback address of its own, as each machine has one, on which these ports are free."""
    while True:
        ip = "127.%d.%d.%d" % (random.randrange(1, 255), random.randrange(256), random.randrange(2, 255))
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return ip
        except OSError:
            continue


class Host:
    FRONTEND, READY, PEERS, METRICS = 8149, 8141, 7380, 9464

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.ip = free_ip([self.FRONTEND, self.READY, self.PEERS, self.METRICS])
        self.process, self.in_rotation, self.misses = None, False, 0
        self.settings = world.folder / (name + ".json")

    def write_settings(self):
        fields = {
            "node_name": self.name,
            "role": "entry",
            "ip": self.ip,
            "zone": self.zone,
            "region": "local",
            "listeners_map": {"frontend": "%s:%d" % (self.ip, self.FRONTEND), "ready": "%s:%d" % (self.ip, self.READY)},
            "ephemeral_ports": [self.PEERS, self.PEERS + 15],
            "limits": {"bandwidth_mbps": 1000.0, "memory_limit_mb": 260, "max_fds": 4100},
            "bounds": BOUNDS,
            "platform": {"address": self.world.store.address},
        }
        self.settings.write_text(render((ROOT / "deploy" / "settings.json").read_text(), fields))

    def start(self):
        """With the command of the deploy file."""
        self.write_settings()
        command = re.search(r'^run = "(.*)"$', (ROOT / "deploy" / "system.toml").read_text(), re.M)[1].split()
        log = open(self.world.folder / (self.name + ".log"), "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": str(self.world.folder), "BAOBABSTALL_CONFIG": str(self.settings)}
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.world.processes.append(self.process)
        self.world.note("host %s started" % self.name)

    def signal(self, number):
        self.world.note("host %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(fetch("%s:%d" % (self.ip, self.READY), "GET", "/baobabstall/readyz"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def ended(self, seconds):
        until = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.poll()


async def fetch(address, method, target, fields=(), body=b""):
    """One request on a connection of its own. Status, answer and body; raises when there is no whole answer."""
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port), limit=8 * 1024 * 1024), 1)
    try:
        head = "%s %s HTTP/1.1\r\n" % (method, target) + "".join("%s: %s\r\n" % field for field in fields)
        head += "Host: x\r\n" if not any(name == "Host" for name, _ in fields) else ""
        writer.write((head + ("Content-Length: %d\r\n" % len(body) if body or method == "POST" else "") + "\r\n").encode() + body)
        message = await read_message(reader)
        return int(message.first[1]), message, message.body
    finally:
        writer.close()


# ---- All together ----


class World:
    def __init__(self, case_folder, seed=1):
        self.case = pathlib.Path(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = open(self.case / "record.txt", "w")
        self.begun = time.monotonic()
        self.store, self.hosts, self.processes, self.tasks, self.servers = Store(), [], [], [], []
        self.random = random.Random(seed)

    def note(self, text):
        if self.record.closed:
            return
        self.record.write("%8.3f %s\n" % (time.monotonic() - self.begun, text))
        self.record.flush()

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def add_host(self, name, zone):
        host = Host(self, name, zone)
        self.hosts.append(host)
        return host

    async def wait_until(self, condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return True
            await asyncio.sleep(0.05)
        return False

    async def check_health(self):
        """The platform's balancer: two misses take a host out of rotation, a 200 takes it in again."""
        while True:
            for host in self.hosts:
                ready = await host.is_ready()
                host.misses = 0 if ready else host.misses + 1
                was = host.in_rotation
                host.in_rotation = ready or (host.in_rotation and host.misses < 2)
                if was != host.in_rotation:
                    self.note("host %s %s rotation" % (host.name, "in" if host.in_rotation else "out of"))
            await asyncio.sleep(1)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in (*self.servers, self.store):
            await server.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, main):
    """Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. main(world, trouble) returns a list of what broke it, or
    nothing if the case couldn't run."""

    async def all_of_it():
        world = World(folder)
        try:
            broken = await asyncio.wait_for(main(world, os.environ.get("TROUBLE", "1") != "0"), 110)
        except Exception as reason:  # the case says nothing then
            world.note("could not run: %r" % reason)
            broken = None
        if broken is not None:
            for each in broken:
                world.note("BROKEN " + each)
            world.note("result: %s" % ("broken" if broken else "held"))
        await world.close()
        return broken

    broken = asyncio.run(all_of_it())
    print((folder / "record.txt").read_text().splitlines()[-1])
    return 2 if broken is None else 1 if broken else 0
