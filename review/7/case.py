"""The store turns one machine away while a release replaces one replica of a service by one of another version of its software, which serves and leaves again.
All processes of the system are killed at the same moment. Callers take their broken streams up. A stream may go on only at the version that began it."""
import pathlib
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from harness import BOUNDS, HEARTBEAT_SECONDS, TROUBLE, CouldNotRun, Host, hosting, run_case, wait_until  # noqa: E402

HOSTS, REPLICAS = 3, 8  # of which the release replaces one
CALLERS = 96
EVENTS, EVENT_SECONDS = 80, 0.06
TIMEOUT_MS = 12_000  # of the route, and of its callers
LOAD_SECONDS = 2.5  # load_time_s of the base model; a new replica starts empty
STEADY_SECONDS = 21.0  # longer than any stream
AWAY_SECONDS = 7.0  # the store turns one machine away
JOIN_SECONDS = 0.3  # after that, until the new replica joins and the one that it replaces is drained
SERVE_SECONDS = 6.0  # the same, until it is drained again
KILL_SECONDS = 6.9  # the same, until all processes are killed
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000 + 0.2
DOWN_SECONDS = 1.4
PAUSE_SECONDS = 1.0  # between a caller's tries
MOST_MIXED = 2


class Front(hosting.Server):
    """The way of one machine to the store, which may turn it away."""

    def __init__(self, store):
        self.store, self.turns_away, self.wrote_at = store, False, 0.0  # when its machine last wrote the copy of the upstreams
        super().__init__()

    def common_headers(self):
        return self.store.common_headers()

    def handle(self, request):
        if self.turns_away:
            request.answer(503)
            return
        if "log-append" in request.path and b"\x09upstreams" in request.body:
            self.wrote_at = time.monotonic()
        self.store.handle(request)


class Model(hosting.Replica):
    def run(self, request):
        resumes = request.headers["Resumes"]
        taken_up = ", which takes up %s after event %s" % (resumes, request.headers["Last-Event-Id"]) if resumes else ""
        self.record.note("%s (%s) runs %s%s" % (self.name, self.version, request.headers["X-Attempt-Id"], taken_up))
        super().run(request)

    def load_model(self, name):
        status = super().load_model(name)
        if status == 202:
            threading.Timer(self.model_load_seconds + 0.01, lambda: self.left or self.register(self.state)).start()  # an entry changes with what its replica holds
        return status


def configuration():
    value = hosting.configuration(3)
    value["routes"][0] |= {"max_attempts": 2, "timeout_ms": TIMEOUT_MS, "target_latency_ms": 800}
    value["services"][0]["runtime"]["slots"] = 24
    return value


def stream(host, attempt, timeout_ms, more=""):
    """Status, what came, whether the answer is complete, and when to come back."""
    body = "prompt of " + attempt
    head = "POST /gen/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Model-Id: base\r\nX-Token-Usage: 60,480\r\nX-Prompt-Prefix: %s:20,%s-own:40\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s"
    address, port = host.callers.split(":")
    received = b""
    try:
        with socket.create_connection((address, int(port)), timeout=1) as connection:
            connection.settimeout(timeout_ms / 1000 + 1)
            connection.sendall((head % (attempt, attempt, attempt, timeout_ms, more, len(body), body)).encode())
            while not received.endswith(b"\r\n0\r\n\r\n") and b"Content-Length: 0" not in received:
                piece = connection.recv(65536)
                if not piece:
                    break
                received += piece
    except OSError:
        pass
    retry = [line.split(b":")[1] for line in received.split(b"\r\n") if line.lower().startswith(b"retry-after:")]
    return int(received[9:12]) if received.startswith(b"HTTP/1.1 ") else 0, received, received.endswith(b"\r\n0\r\n\r\n"), float(retry[0]) if retry else 0.0


def drain(model):
    model.state = "draining"
    model.register("draining")


def leave(store, model):
    model.left = True
    store.put("keyed.servers", model.name, b"")


def play(record, folder, hosts):
    Model.record = record
    store = hosting.Store()
    store.put("keyed.op", "config", configuration())
    models = [Model(store, "i-old%d" % n, "llm", "a", model="base", events=EVENTS, event_seconds=EVENT_SECONDS, version="v1") for n in range(REPLICAS)]
    hosting.Replica(store, "i-shop", "shop", "a")
    over = threading.Event()
    for model in models:
        model.names_version, model.state = True, "ready"

    def beat(replica):
        while not over.wait(HEARTBEAT_SECONDS):
            if not replica.left:
                replica.register(replica.state)

    for model in models:
        threading.Thread(target=beat, args=(model,), daemon=True).start()
    fronts = [Front(store) for _ in range(HOSTS)]
    hosts += [Host(n + 1, fronts[n].address, folder, record) for n in range(HOSTS)]
    for host in hosts:
        host.start()
    if not wait_until(lambda: all(host.ready() for host in hosts), 20):
        raise CouldNotRun("a host is not ready")
    mixed, ended = [], []

    def versions_of(received):
        return sorted({each.split(b"\n")[0].decode() for each in received.split(b"version: ")[1:]})

    def work(number):
        count = 0
        while not over.is_set():
            count += 1
            first, begin = "s%d-%d" % (number, count), time.monotonic()
            status, received, whole, _ = stream(hosts[(number + count) % HOSTS], first, TIMEOUT_MS)
            events, tries = received.count(b"\n\n"), 0
            record.note("%s: %d, %d events of %s%s" % (first, status, events, versions_of(received), "" if whole else ", broken off"))
            while status == 200 and not whole and events and time.monotonic() + PAUSE_SECONDS - begin < TIMEOUT_MS / 1000 - 0.5:
                tries += 1
                again, host = "%s-again%d" % (first, tries), hosts[(number + count + tries) % HOSTS]
                left = TIMEOUT_MS - int(1000 * (time.monotonic() - begin))
                answer, rest, whole, retry = stream(host, again, left, "Resumes: %s\r\nLast-Event-Id: %d\r\n" % (first, events))
                record.note("%s takes up %s (%s) after event %d at %s: %d, %d events of %s" % (again, first, versions_of(received), events, host.name, answer, rest.count(b"\n\n"), versions_of(rest)))
                received, events = received + rest, events + rest.count(b"\n\n")
                if not whole:
                    time.sleep(max(PAUSE_SECONDS, retry))
            ended.append(first)
            if len(versions_of(received)) > 1:
                mixed.append(first)
            over.wait(0.1 if status == 200 else 0.5)

    threads = [threading.Thread(target=work, args=(number,), daemon=True) for number in range(CALLERS)]
    for thread in threads:
        thread.start()
        time.sleep(0.15)
    time.sleep(STEADY_SECONDS - 3)
    hosting.Replica(store, "i-shop2", "shop", "a")  # so that the leader writes
    time.sleep(3)
    leader = max(range(HOSTS), key=lambda n: fronts[n].wrote_at)
    begin = time.monotonic()
    if TROUBLE:
        fronts[leader].turns_away = True
        record.note("the store turns %s away" % hosts[leader].name)
    time.sleep(JOIN_SECONDS)
    new = Model(store, "i-new", "llm", "a", model=None, events=EVENTS, event_seconds=EVENT_SECONDS, version="v2")
    new.names_version, new.state, new.model_load_seconds = True, "ready", LOAD_SECONDS
    threading.Thread(target=beat, args=(new,), daemon=True).start()
    old = models[0]
    drain(old)
    record.note("a replica of v2 joins, one of v1 is draining")
    time.sleep(max(0.0, begin + JOIN_SECONDS + DRAIN_SECONDS - time.monotonic()))
    leave(store, old)
    time.sleep(max(0.0, begin + SERVE_SECONDS - time.monotonic()))
    drain(new)
    record.note("the replica of v2 is draining")
    time.sleep(max(0.0, begin + KILL_SECONDS - time.monotonic()))
    if TROUBLE:
        for host in hosts:
            host.send_signal(signal.SIGKILL)
        for host in hosts:
            host.process.wait(10)
    time.sleep(max(0.0, begin + AWAY_SECONDS - time.monotonic()))
    fronts[leader].turns_away = False
    time.sleep(max(0.0, begin + SERVE_SECONDS + DRAIN_SECONDS - time.monotonic()))
    leave(store, new)
    record.note("the replica of v2 has left")
    if TROUBLE:
        time.sleep(max(0.0, begin + KILL_SECONDS + DOWN_SECONDS - time.monotonic()))
        for host in hosts:
            host.start()
    time.sleep(9.0)
    over.set()
    for thread in threads:
        thread.join(15)
    if not new.streams:
        raise CouldNotRun("no stream began at v2")
    record.note("%d streams, of which %d hold events of two versions: %s" % (len(ended), len(mixed), mixed))
    return ["ORDER: %d streams hold events of replicas of two software versions of one service: %s" % (len(mixed), ", ".join(mixed[:6]))] if len(mixed) > MOST_MIXED else []


run_case(FOLDER, play)
