"""A small deployment for the cases 11 to 15: daemons with the start command and the settings template of deploy/, on loopback addresses and the real
clock, against the stand-ins of standins/hosting. Scaffolding of review/; not shipped."""
import copy
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "standins" / "hosting"))
from hosting import Replica, Server, Store, configuration  # noqa: E402,F401
from proxy import Proxy  # noqa: E402,F401

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_SECONDS = 115  # of a case, after which it counts as not run

# Of sites/vloerwerk-plan.toml, as SYSTEM.md and DEPLOY.md name them.
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "retry_budget_ratio": 0.2, "budget_slack": 56, "lease_ms": 3000,
          "fencing_enforced": True, "version_ms": 5000}
LIMITS = {"cpu_quota": 0.25, "cpu_cores": 1, "memory_limit_mb": 260, "max_fds": 4100, "bandwidth_mbps": 1000.0, "disk_limit_mb": 0}


class CannotRun(Exception):
    """The case did not come to its check."""


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def note(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.begin, text))
            self.file.flush()


def lookup(scopes, name):
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            try:
                value = value[int(part)] if isinstance(value, list) else value[part]
            except (KeyError, IndexError, TypeError, ValueError):
                break
        else:
            return value
    return None


def render(template, fields):
    """The placeholders and sections of DEPLOY.md that deploy/settings.json uses."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def part(match):
        value = lookup([fields], match[2])
        return match[3] if bool(value) == (match[1] == "#") else ""

    def value(match):
        found = lookup([fields], match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else found if isinstance(found, str) else json.dumps(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, section.sub(part, template))


class Host:
    """One entry host; its process is started as the platform does it."""

    def __init__(self, fleet, number, zone):
        self.fleet, self.number, self.zone = fleet, number, zone
        self.name = "edge-%s-%d" % (zone, number)
        self.ip = "%s.%d" % (fleet.network, 10 + number)
        self.callers = "%s:%d" % (self.ip, fleet.port)
        self.ready_address = "%s:%d" % (self.ip, fleet.port + 1)
        self.peers = "%s:%d" % (self.ip, fleet.port + 2)
        self.store_path = Proxy(fleet.store.address)
        self.settings = fleet.folder / (self.name + ".json")
        self.process, self.log_path, self.runs = None, None, 0

    def write_settings(self):
        fields = {"node_name": self.name, "zone": self.zone, "region": "nl-centraal", "ip": self.ip,
                  "listeners_map": {"frontend": self.callers, "ready": self.ready_address},
                  "ephemeral_ports": [self.fleet.port + 2, self.fleet.port + 17],
                  "platform": {"address": self.store_path.address}, "bounds": self.fleet.bounds, "limits": self.fleet.limits}
        self.settings.write_text(render((ROOT / "deploy" / "settings.json").read_text(), fields))

    def start(self):
        self.write_settings()
        self.runs += 1
        self.log_path = self.fleet.folder / ("%s-%d.log" % (self.name, self.runs))
        words = shlex.split(tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]["run"])
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["BAOBABSTALL_CONFIG"] = str(self.settings)
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen([os.environ.get("BAOBABSTALLD") or str(ROOT / words[0]), *words[1:]], cwd=ROOT, env=environment, stdout=log, stderr=log)
        STARTED.append(self.process)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def end(self, number=signal.SIGKILL):
        if self.is_running():
            self.process.send_signal(number)
            self.process.wait(20)

    def is_ready(self):
        try:
            with socket.create_connection(address_of(self.ready_address), timeout=1) as connection:
                connection.sendall(b"GET /baobabstall/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def memory_mb(self):
        """Resident memory, as the platform measures it."""
        try:
            text = pathlib.Path("/proc/%d/status" % self.process.pid).read_text()
            return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024
        except (OSError, TypeError, AttributeError):
            return 0.0

    def local_ports(self):
        """Of this process's TCP connections."""
        sockets = set()
        try:
            for descriptor in list(pathlib.Path("/proc/%d/fd" % self.process.pid).iterdir()):
                try:
                    sockets.add(os.readlink(descriptor))
                except OSError:
                    pass  # closed meanwhile
        except OSError:
            return set()  # the process has ended
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        return {int(line.split()[1].split(":")[1], 16) for line in lines if "socket:[%s]" % line.split()[9] in sockets}

    def owns(self, connection):
        """Whether this process is at the other end, asked in a fraction of a millisecond: whoever asks decides on a connection just opened."""
        inode = inode_of(connection.getpeername(), connection.getsockname())
        folder = "/proc/%d/fd" % self.process.pid
        try:
            return any(os.readlink("%s/%s" % (folder, each)) == "socket:[%d]" % inode for each in os.listdir(folder))
        except OSError:
            return False  # the process has ended

    def events(self, name):
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            if '"event":"%s"' % name in line.replace(" ", ""):
                found.append(json.loads(line))
        return found


def inode_of(local, remote):
    """Of the socket that has these addresses (sock_diag(7)); 0: there is none."""
    sock_diag_by_family, is_request, any_state, no_cookie = 20, 1, 0xFFFFFFFF, 0xFFFFFFFF
    name = struct.pack("!HH", local[1], remote[1]) + socket.inet_aton(local[0]) + bytes(12) + socket.inet_aton(remote[0]) + bytes(12) + struct.pack("=III", 0, no_cookie, no_cookie)
    request = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, any_state) + name
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, 4) as asked:
        asked.send(struct.pack("=IHHII", 16 + len(request), sock_diag_by_family, is_request, 1, 0) + request)
        answer = asked.recv(4096)
    inode_at = 16 + 4 + len(name) + 16  # after the message's head, the socket's state and name, and four counts
    return struct.unpack_from("=I", answer, inode_at)[0] if len(answer) >= inode_at + 4 else 0


def address_of(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


class Fleet:
    def __init__(self, record, hosts=3, zones=("een", "twee", "drie"), bounds=None, limits=None, store=None):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.bounds, self.limits = BOUNDS | (bounds or {}), LIMITS | (limits or {})
        self.store = store or Store()
        self.replicas = []
        self.network, self.port = self.free_network(hosts)
        self.hosts = [Host(self, number + 1, zones[number % len(zones)]) for number in range(hosts)]

    @staticmethod
    def free_network(hosts):
        """A loopback network and the first of 18 ports that are free on its hosts' addresses."""
        draw = random.SystemRandom()
        for _ in range(200):
            network = "127.%d.%d" % (draw.randrange(20, 240), draw.randrange(1, 250))
            port = draw.randrange(12_000, 28_000)
            try:
                for number in range(hosts):
                    for each in (port, port + 1, port + 2, 9464):
                        with socket.socket() as probe:
                            probe.bind(("%s.%d" % (network, 11 + number), each))
                return network, port
            except OSError:
                continue
        raise CannotRun("no free ports")

    def start(self, hosts=None):
        for host in hosts or self.hosts:
            host.start()
        self.wait("hosts are ready", lambda: all(host.is_ready() for host in hosts or self.hosts), 25)

    @staticmethod
    def wait(what, condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.02)
        raise CannotRun("not in time: " + what)

    def close(self):
        for host in self.hosts:
            host.end()
            host.store_path.close()
        for replica in self.replicas:
            replica.close()
        self.store.close()
        self.temporary.cleanup()


STARTED = []  # processes


def end_all():
    for process in STARTED:
        if process.poll() is None:
            process.kill()
            process.wait()


def run_case(folder, case):
    """Runs case(record) -> HELD or BROKEN and ends the process with that; CannotRun and any other exception end it with NOT_RUN."""
    record = Record(pathlib.Path(folder) / "record.txt")
    record.note("TROUBLE=%d" % TROUBLE)

    def give_up():
        record.note("NOT RUN: the case took too long")
        end_all()
        os._exit(NOT_RUN)

    timer = threading.Timer(LONGEST_SECONDS, give_up)
    timer.daemon = True
    timer.start()
    try:
        code = case(record)
    except CannotRun as failed:
        record.note("NOT RUN: %s" % failed)
        code = NOT_RUN
    except Exception as failed:  # noqa: BLE001
        record.note("NOT RUN: %r" % failed)
        code = NOT_RUN
        if os.environ.get("DEBUG"):
            raise
    end_all()
    outcome = {HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[code]
    record.note(outcome)
    print(outcome)
    sys.stdout.flush()
    os._exit(code)


# ---- Cuts between hosts ----


def with_paths(key, value, paths):
    """The announcement of a host, with the path to it in place of its address for peers."""
    for near, far in paths.items() if key.startswith("host/") else ():
        value = value.replace(b'"%s"' % near.encode(), b'"%s"' % far.encode())
    return value


class PathStore(Store):
    """The store, in which some hosts' announcements name the path to them."""

    def __init__(self):
        self.paths = {}  # address of a host for its peers -> that of the path
        super().__init__()

    def append(self, request, query):
        rewritten, body = b"", request.body
        while body:
            length = int.from_bytes(body[:4], "big")
            content, body = body[4 : 4 + length], body[4 + length :]
            end = 1 + content[0]
            content = content[:end] + with_paths(content[1:end].decode(), content[end:], self.paths)
            rewritten += len(content).to_bytes(4, "big") + content
        request.body = rewritten
        super().append(request, query)


class View(Server):
    """The store as hosts see it that reach the others by paths of their own."""

    class Topics:
        def __init__(self, store, paths):
            self.store, self.paths = store, paths

        def get(self, name, default):
            records = self.store.topics.get(name, default)
            return [(key, with_paths(key, value, self.paths)) for key, value in records] if name == "keyed.control" else records

    def __init__(self, store):
        self.store, self.paths = store, {}
        self.shown = copy.copy(store)
        self.shown.topics = View.Topics(store, self.paths)
        super().__init__()

    def common_headers(self):
        return self.store.common_headers()

    def handle(self, request):
        (self.store if "log-append" in request.path else self.shown).handle(request)


class CuttableFleet(Fleet):
    """The last `cuttable` hosts can be cut off from the store and from all other hosts. Callers, replicas and the platform's questions whether they
    are ready still reach them."""

    def __init__(self, record, cuttable, **more):
        super().__init__(record, store=PathStore(), **more)
        self.view = View(self.store)
        self.cut_hosts = self.hosts[-cuttable:]
        self.paths = []
        for host in self.hosts:
            path = Proxy(host.peers)
            self.paths.append(path)
            if host in self.cut_hosts:
                self.store.paths[host.peers] = path.address
                host.store_path.close()
                host.store_path = Proxy(self.view.address)
            else:
                self.view.paths[host.peers] = path.address

    def start(self):
        """Those that can be cut off start last, so that they read the announcements of the others themselves."""
        first = self.hosts[: -len(self.cut_hosts)]
        super().start(first)
        announced = lambda: {key for key, _ in list(self.store.topics.get("keyed.control", []))}
        self.wait("hosts have announced themselves", lambda: all("host/" + host.name in announced() for host in first), 10)
        super().start(self.cut_hosts)

    def cut(self):
        self.record.note("%s are cut off from the store and from all other hosts" % ", ".join(host.name for host in self.cut_hosts))
        for path in (*self.paths, *(host.store_path for host in self.cut_hosts)):
            path.silent = {"there", "back"}

    def heal(self):
        self.record.note("they are no longer cut off")
        for path in (*self.paths, *(host.store_path for host in self.cut_hosts)):
            path.heal()

    def close(self):
        for path in self.paths:
            path.close()
        super().close()
        self.view.close()


# ---- Replicas of a release ----


class ReleasedReplica(Replica):
    """A replica that joins empty: it holds a model once it has been ordered to load it, and says so with a heartbeat."""

    HEARTBEAT_SECONDS = 1.2

    def __init__(self, *arguments, load_seconds=1.9, **named):
        self.is_alive = True
        super().__init__(*arguments, model=[], **named)
        self.model_load_seconds = load_seconds
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while self.is_alive:
            time.sleep(self.HEARTBEAT_SECONDS)
            if self.is_alive:
                self.register()

    def run(self, request):
        model = (request.headers.get("X-Model-Id") or "").split("/")[0]
        if self.base_models.get(model, float("inf")) > time.monotonic():
            request.answer(421, headers=[("X-Replica-Id", self.name), *self.id_of(request)])
            return
        super().run(request)

    def crash(self):
        """Its entry goes three heartbeats later."""
        self.is_alive = False
        self.http.socket.close()
        self.close_connections()
        threading.Timer(3 * self.HEARTBEAT_SECONDS, self.store.put, ("keyed.servers", self.name, b"")).start()

    def close(self):
        self.is_alive = False
        super().close()


# ---- Cuts between hosts and replicas ----


class ReplicaPath(Proxy):
    """The way to one replica. For a host that is partitioned from the replicas, connections are reset, and so are new ones."""

    def __init__(self, fleet, replica):
        self.fleet = fleet
        super().__init__(replica.address)

    def connect(self, near):
        if self.fleet.is_partitioned(near):
            self.reset(near)
            return
        super().connect(near)


class PathReplica(Replica):
    """A replica whose entry names a path to it."""

    def __init__(self, fleet, *arguments, **named):
        self.fleet, self.path = fleet, None
        super().__init__(fleet.store, *arguments, **named)

    def register(self, state="ready"):
        self.path = self.path or ReplicaPath(self.fleet, self)
        inner, self.address = self.address, self.path.address
        super().register(state)
        self.address = inner

    def close(self):
        self.path.close()
        super().close()


class PartitionFleet(Fleet):
    def __init__(self, record, **more):
        super().__init__(record, **more)
        self.partitioned = set()

    def is_partitioned(self, connection):
        return any(host.owns(connection) for host in list(self.partitioned))

    def partition(self, hosts):
        """Partitions the hosts from all replicas. Callers, the store and the other hosts still reach them."""
        self.record.note("%s are partitioned from all replicas" % ", ".join(host.name for host in hosts))
        self.partitioned |= set(hosts)
        ports = set().union(*(host.local_ports() for host in hosts))
        for replica in self.replicas:
            replica.path.reset_connections(ports)

    def mend(self):
        self.record.note("the partition has ended")
        self.partitioned = set()
