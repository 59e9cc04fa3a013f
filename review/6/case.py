"""A machine is stopped while callers keep their connections busy: each sends its next request as soon as the answer before has ended. Requests that the
machine has read and passed on more than three seconds after the SIGTERM must end with a complete answer."""
import pathlib
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from harness import BOUNDS, HEARTBEAT_SECONDS, TROUBLE, CouldNotRun, Host, hosting, run_case, wait_until  # noqa: E402

CALLERS = 12
EVENT_SECONDS = 0.06  # a tenth of the pause that counts as on time
TIMEOUT_MS = 12_000  # of the route, and of its callers
MAX_TOKENS = 480  # that each request allows; most answers end long before, as they do with any model
SHORT, BEFORE, AFTER = 8, 60, 74  # events of an answer; the last one ends before the grace does
EXCUSED_SECONDS = 3.0  # a request sent no later than this after the SIGTERM, and still at work near the end of the grace, isn't counted


class Model(hosting.Replica):
    """Each answer ends after as many events as its prompt makes the model write."""

    def run(self, request):
        attempt = request.headers["X-Attempt-Id"]
        events = int(request.body.split(b"=")[1])
        wanted = request.headers["X-Model-Id"].split("/")[1]
        if self.held.get(wanted, float("inf")) > time.monotonic():
            request.answer(421, headers=[("X-Replica-Id", self.name), *self.id_of(request)])
            return
        self.record.note("%s runs %s" % (self.name, attempt))
        request.send_response(200)
        for name, value in [("X-Attempt-Id", attempt), ("X-Response-Seal", "seal-of-" + attempt), ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]:
            request.send_header(name, value)
        request.end_headers()
        for number in range(1, events + 1):
            time.sleep(EVENT_SECONDS)
            event = b"id: %d\ndata: %s\n\n" % (number, attempt.encode())
            try:
                request.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                request.wfile.flush()
            except OSError:
                self.record.note("%s: the connection of %s is closed after event %d of %d" % (self.name, attempt, number, events))
                request.close_connection = True
                return
        request.wfile.write(b"0\r\n\r\n")
        self.record.note("%s has written all %d events of %s" % (self.name, events, attempt))
        self.finished.add(attempt)


def configuration():
    value = hosting.configuration(3)
    stream = value["routes"][0]
    stream |= {"resumable": False, "max_attempts": 1, "timeout_ms": TIMEOUT_MS, "target_latency_ms": 1000, "target_itl_ms": 600}
    value["services"][0]["runtime"] |= {"slots": 24, "max_adapters": 12}
    return value


class Caller:
    """One kept connection."""

    def __init__(self, host, record):
        self.record, self.buffer = record, b""
        address, port = host.callers.split(":")
        self.socket = socket.create_connection((address, int(port)), timeout=20)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, attempt, events):
        body = b"events=%d" % events
        head = "POST /gen/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Model-Id: base/a1\r\nX-Token-Usage: 60,%d\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
        try:
            self.socket.sendall((head % (attempt, MAX_TOKENS, TIMEOUT_MS, len(body))).encode() + body)
        except OSError as why:
            self.record.note("%s could not be sent: %s" % (attempt, why))
            return None
        self.record.note("%s is sent, of %d events" % (attempt, events))
        return time.monotonic()

    def receive(self):
        """Status, events, whether the answer is complete, how the connection stands."""
        end = "open"
        while not self.is_answer_whole() and end == "open":
            try:
                piece = self.socket.recv(65536)
                end = "open" if piece else "closed"
                self.buffer += piece
            except ConnectionResetError:
                end = "reset"
            except TimeoutError:
                end = "silent"
        answer, whole = self.buffer, self.is_answer_whole()
        self.buffer = b""
        status = int(answer[9:12]) if answer.startswith(b"HTTP/1.1 ") else 0
        return status, answer.count(b"\n\n"), whole, end

    def is_answer_whole(self):
        head, _, body = self.buffer.partition(b"\r\n\r\n")
        if b"chunked" in head:
            return body.endswith(b"0\r\n\r\n")
        return bool(head) and self.buffer.count(b"\r\n\r\n") > 0  # a refusal has no body


def play(record, folder, hosts):
    Model.record = record
    store = hosting.Store()
    store.put("keyed.op", "config", configuration())
    models = [Model(store, "i-llm%d" % n, "llm", "a", model="base", places=12) for n in range(2)]
    hosting.Replica(store, "i-shop", "shop", "a")
    over = threading.Event()

    def beat(replica):
        while not over.wait(HEARTBEAT_SECONDS):
            replica.register()

    for model in models:
        threading.Thread(target=beat, args=(model,), daemon=True).start()
    hosts += [Host(n + 1, store.address, folder, record) for n in range(2)]
    for host in hosts:
        host.start()
    if not wait_until(lambda: all(host.ready() for host in hosts), 20):
        raise CouldNotRun("a host is not ready")
    time.sleep(BOUNDS["contact_ms"] / 1000)
    host = hosts[0]
    begin = time.monotonic() + 6.0  # of the SIGTERM
    outcomes = []

    def work(number):
        caller, count = Caller(host, record), 0

        def once(events):
            nonlocal count
            count += 1
            attempt = "c%d-%d" % (number, count)
            sent = caller.send(attempt, events)
            if sent is None:
                return False
            status, got, whole, end = caller.receive()
            ended = time.monotonic()
            record.note("%s: %d, %d of %d events, %s; the connection is %s" % (attempt, status, got, events, "complete" if whole else "NOT COMPLETE", end))
            outcomes.append((attempt, sent, ended, status, whole, end))
            return whole and end == "open"

        while time.monotonic() < begin - 1.2:
            if not once(SHORT):
                return
        time.sleep(max(0.0, begin - 0.3 - time.monotonic()))
        if once(BEFORE):  # began before the SIGTERM, ends more than three seconds after it
            once(AFTER)

    threads = [threading.Thread(target=work, args=(number,), daemon=True) for number in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, begin - time.monotonic()))
    signalled = None
    if TROUBLE:
        host.send_signal(signal.SIGTERM)
        signalled = host.signalled_at
        if not wait_until(lambda: not host.is_running(), BOUNDS["grace_s"]):
            host.kill()
            record.note("%s is killed at the end of its grace" % host.name)
        record.note("%s has ended" % host.name)
    for thread in threads:
        thread.join(20)
    over.set()
    if sum(1 for each in outcomes if each[4] and each[3] == 200) < CALLERS * 3:
        raise CouldNotRun("too few answers before the stop")
    breaches = []
    runs = set(FOLDER.joinpath("record.txt").read_text().split())
    for attempt, sent, ended, status, whole, end in outcomes:
        was_passed_on = attempt in runs and status == 200
        if signalled and sent > signalled + EXCUSED_SECONDS:
            record.note("%s was sent %.3f s after the SIGTERM and ended %.3f s after it: %d, %s" % (attempt, sent - signalled, ended - signalled, status, "complete" if whole else "not complete"))
        excused = signalled is None or sent <= signalled + EXCUSED_SECONDS or ended - sent > 0.99 * TIMEOUT_MS / 1000
        if was_passed_on and not whole and not excused:
            breaches.append("LOST: %s, sent %.3f s after the SIGTERM on a kept connection, was passed on, and its connection was %s after %.3f s without a complete answer" % (attempt, sent - signalled, end, ended - sent))
        if signalled is None and not whole:
            breaches.append("LOST: %s has no complete answer without any disruption" % attempt)
    return breaches


run_case(FOLDER, play)
