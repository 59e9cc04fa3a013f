"""Replicas of two versions of their software serve side by side, as in a release. All processes of the system are killed at the same moment and start again.
Callers take their broken streams up. Once the machines are in touch again, such streams must go on about as often as new ones begin."""
import pathlib
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from harness import BOUNDS, HEARTBEAT_SECONDS, TROUBLE, CouldNotRun, Host, hosting, run_case, wait_until  # noqa: E402

HOSTS, REPLICAS = 3, 2  # replicas of each version
CALLERS = 32
EVENTS, EVENT_SECONDS = 80, 0.06
TIMEOUT_MS = 12_000  # of the route, and of its callers
STEADY_SECONDS = 8.0
DOWN_SECONDS = 1.4
PAUSE_SECONDS = 1.5  # between a caller's tries; a refusal that names a longer time is honoured
CONTACT = BOUNDS["contact_ms"] / 1000
LEAST_TAKEN_UP, SHARE = 12, 0.5


class Model(hosting.Replica):
    def run(self, request):
        resumes = request.headers["Resumes"]
        taken_up = ", which takes up %s after event %s" % (resumes, request.headers["Last-Event-Id"]) if resumes else ""
        self.record.note("%s (%s) runs %s%s" % (self.name, self.version, request.headers["X-Attempt-Id"], taken_up))
        super().run(request)


def configuration():
    value = hosting.configuration(3)
    value["routes"][0] |= {"max_attempts": 2, "timeout_ms": TIMEOUT_MS, "target_latency_ms": 800}
    value["services"][0]["runtime"]["slots"] = 24
    return value


def stream(host, attempt, timeout_ms, more=""):
    """Status, what came, whether the answer is complete, and when to come back."""
    body = "prompt of " + attempt
    head = "POST /gen/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Model-Id: base\r\nX-Token-Usage: 60,480\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s"
    address, port = host.callers.split(":")
    received = b""
    try:
        with socket.create_connection((address, int(port)), timeout=1) as connection:
            connection.settimeout(timeout_ms / 1000 + 1)
            connection.sendall((head % (attempt, timeout_ms, more, len(body), body)).encode())
            while not received.endswith(b"\r\n0\r\n\r\n") and b"Content-Length: 0" not in received:
                piece = connection.recv(65536)
                if not piece:
                    break
                received += piece
    except OSError:
        pass
    retry = [line.split(b":")[1] for line in received.split(b"\r\n") if line.lower().startswith(b"retry-after:")]
    return int(received[9:12]) if received.startswith(b"HTTP/1.1 ") else 0, received, received.endswith(b"\r\n0\r\n\r\n"), float(retry[0]) if retry else 0.0


def play(record, folder, hosts):
    Model.record = record
    store = hosting.Store()
    store.put("keyed.op", "config", configuration())
    models = [
        Model(store, "i-%s%d" % (version, n), "llm", "a", model="base", events=EVENTS, event_seconds=EVENT_SECONDS, version=version) for version in ("v1", "v2") for n in range(REPLICAS)
    ]
    hosting.Replica(store, "i-shop", "shop", "a")
    over = threading.Event()
    for model in models:
        model.names_version = True

    def beat(replica):
        while not over.wait(HEARTBEAT_SECONDS):
            replica.register()

    for model in models:
        threading.Thread(target=beat, args=(model,), daemon=True).start()
    hosts += [Host(n + 1, store.address, folder, record) for n in range(HOSTS)]
    for host in hosts:
        host.start()
    if not wait_until(lambda: all(host.ready() for host in hosts), 20):
        raise CouldNotRun("a host is not ready")
    time.sleep(CONTACT)
    killed_at = []
    began, went_on = [], {}  # of streams at machines in touch, after the kill: new ones, and those that were taken up

    def in_touch(host):
        return bool(killed_at) and host.started_at > killed_at[0] and time.monotonic() > host.started_at + CONTACT

    def work(number):
        count = 0
        while not over.is_set():
            count += 1
            first, host = "s%d-%d" % (number, count), hosts[(number + count) % HOSTS]
            begin, counts = time.monotonic(), in_touch(host)
            status, received, whole, _ = stream(host, first, TIMEOUT_MS)
            events, tries = received.count(b"\n\n"), 0
            if counts:
                began.append(status == 200 and events > 0)
            version = received.partition(b"version: ")[2][:2].decode()
            record.note("%s at %s: %d, %d events of %s%s" % (first, host.name, status, events, version or "none", "" if whole else ", broken off"))
            wait = PAUSE_SECONDS
            while status == 200 and not whole and events and time.monotonic() + wait - begin < TIMEOUT_MS / 1000 - 0.5:
                tries += 1
                again, host = "%s-again%d" % (first, tries), hosts[(number + count + tries) % HOSTS]
                counts, left = in_touch(host), TIMEOUT_MS - int(1000 * (time.monotonic() - begin))
                answer, rest, whole, retry = stream(host, again, left, "Resumes: %s\r\nLast-Event-Id: %d\r\n" % (first, events))
                got = rest.count(b"\n\n")
                record.note("%s takes up %s (%s) after event %d at %s, %s: %d, %d events" % (again, first, version, events, host.name, "in touch" if counts else "not in touch", answer, got))
                if counts and not whole:
                    went_on.setdefault(first, False)
                if counts and whole:
                    went_on[first] = True
                events += got
                wait = max(PAUSE_SECONDS, retry)
                if not whole:
                    time.sleep(wait)
            over.wait(0.1 if status == 200 else 0.5)

    threads = [threading.Thread(target=work, args=(number,), daemon=True) for number in range(CALLERS)]
    for thread in threads:
        thread.start()
        time.sleep(0.1)
    time.sleep(STEADY_SECONDS)
    killed_at.append(time.monotonic())
    if TROUBLE:
        for host in hosts:
            host.send_signal(signal.SIGKILL)
        for host in hosts:
            host.process.wait(10)
        time.sleep(DOWN_SECONDS)
        for host in hosts:
            host.start()
    time.sleep(14.0)
    over.set()
    for thread in threads:
        thread.join(15)
    new, taken = sum(began) / max(1, len(began)), sum(went_on.values()) / max(1, len(went_on))
    record.note("at machines in touch: %d of %d streams that were taken up went on; %d of %d new ones began" % (sum(went_on.values()), len(went_on), sum(began), len(began)))
    if TROUBLE and (len(went_on) < LEAST_TAKEN_UP or len(began) < LEAST_TAKEN_UP):
        raise CouldNotRun("too few streams: %d were taken up, %d began" % (len(went_on), len(began)))
    if len(went_on) >= LEAST_TAKEN_UP and taken < SHARE * new:
        return ["LOST: %d of %d streams that callers took up at machines in touch went on, %d of %d new ones began, while two replicas of each version served" % (sum(went_on.values()), len(went_on), sum(began), len(began))]
    return []


run_case(FOLDER, play)
