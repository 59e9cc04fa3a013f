"""One entry host freezes while the first replica of a new software version comes: its clients take up their streams at other hosts."""
import os
import pathlib
import random
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from fleet import BROKEN, HELD, TROUBLE, CannotRun, Fleet, ReleasedReplica, Replica, address_of, configuration, run_case  # noqa: E402

HOSTS, OLD_REPLICAS, NEW_REPLICAS = 8, 3, 1
EVENTS, EVENT_SECONDS = 70, 0.1
DEADLINE_SECONDS = 10.0  # of `bezoekverslag`; its aim is 1,000 ms, its pauses 600 ms
ABANDON_SECONDS = max(2.0, 4 * 1.0, 8 * 0.6)  # a gap after which clients leave a stream
ONE_VERSION_SECONDS = 16.0  # longer than any stream lasts: the route's 10 s and 5 s for late records
FREEZE_SECONDS = 7.2
AGE_SECONDS = 3.0  # of the streams when their host freezes
RELEASE_AFTER = float(os.environ.get("RELEASE_AFTER", "1.0"))  # seconds from the freeze to the new replica
STREAMS, LEAST_TAKEN_UP = 24, 12
FREEZE = TROUBLE
RELEASE = os.environ.get("RELEASE", "1") != "0"


class Client:
    """One stream. When nothing comes for too long, or it breaks off, its client takes it up at another host with the last event that it has."""

    def __init__(self, record, name, hosts, first):
        self.record, self.name, self.hosts, self.first = record, name, hosts, first
        self.began = time.monotonic()
        self.origin, self.events, self.tries = None, 0, 0
        self.taken_up, self.went_on = False, False
        self.versions = []
        self.draw = random.Random(name)
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def left(self):
        return DEADLINE_SECONDS - (time.monotonic() - self.began)

    def attempt(self, host):
        """Returns when to come back."""
        attempt, before, status, retry, head = "%s-%d" % (self.name, self.tries), self.events, 0, 0.1, b""
        self.tries += 1
        lines = ["POST /gen/x HTTP/1.1", "Host: h.example", "X-Attempt-Id: " + attempt, "X-Model-Id: base", "X-Token-Usage: 646,490", "X-Deadline-Ms: %d" % (1000 * self.left())]
        if before:
            self.taken_up = True
            lines += ["Resumes: " + self.origin, "Last-Event-Id: %d" % before]
        connection = socket.socket()
        began = time.monotonic()
        try:
            connection.settimeout(1.0)
            connection.connect(address_of(host.callers))
            connection.sendall(("\r\n".join([*lines, "Content-Length: 6", "", ""]) + "prompt").encode())
            data = b""
            while True:
                connection.settimeout(max(0.01, min(ABANDON_SECONDS, self.left())))
                piece = connection.recv(65536)
                if not piece:
                    break
                data += piece
                if not status and b"\r\n\r\n" in data:
                    head, data = data.split(b"\r\n\r\n", 1)
                    status = int(head.split(b" ")[1])
                    for line in head.split(b"\r\n"):
                        if line.lower().startswith(b"retry-after:"):
                            retry = float(line.split(b":")[1])
                    if status != 200:
                        break
                *whole, data = data.split(b"\n") if status else [data]
                for line in whole:
                    if line.startswith(b"id: "):
                        self.origin = self.origin or attempt
                        self.events = int(line[4:])
                        self.went_on = self.went_on or bool(before)
                    elif line.startswith(b"version: ") and line[9:].strip().decode() not in self.versions[-1:]:
                        self.versions.append(line[9:].strip().decode())
                if self.events == EVENTS:
                    break
        except OSError as failed:
            head += repr(failed).encode()
        finally:
            connection.close()
        self.record.note("%s at %s: status %d after %.2f s, %d events, has %d of %s%s" % (attempt, host.name, status, time.monotonic() - began, self.events - before, self.events, self.versions or "none", ", resumes " + self.origin if before else ""))
        return retry

    def run(self):
        host = self.first
        while self.events < EVENTS and self.left() > 0.3:
            retry = self.attempt(host)
            if self.events < EVENTS:
                time.sleep(max(0.0, min(retry, self.left() / 3)))
                host = self.draw.choice([each for each in self.hosts if each not in (host, self.first)])  # tries again reach other hosts


def case(record):
    fleet = Fleet(record, hosts=HOSTS)
    frozen = fleet.hosts[-1]
    try:
        settings = configuration(3)
        settings["routes"][0] |= {"timeout_ms": 10_000, "target_latency_ms": 1_000, "target_itl_ms": 600}
        fleet.store.put("keyed.op", "config", settings)

        def add(replica):
            replica.slots, replica.names_version = 64, True
            replica.register()
            fleet.replicas.append(replica)
            record.note("replica %s of version %s is registered" % (replica.name, replica.version))

        for number in range(OLD_REPLICAS):
            add(Replica(fleet.store, "i-old%d" % number, "llm", "een", model="base", version="v1", events=EVENTS, event_seconds=EVENT_SECONDS))
        fleet.replicas.append(Replica(fleet.store, "i-shop", "shop", "een"))
        fleet.start()
        record.note("all hosts are ready")
        time.sleep(ONE_VERSION_SECONDS)
        streams = [Client(record, "s%d" % number, fleet.hosts, frozen) for number in range(STREAMS)]
        time.sleep(AGE_SECONDS)
        if FREEZE:
            record.note("%s freezes for %.1f s" % (frozen.name, FREEZE_SECONDS))
            frozen.process.send_signal(signal.SIGSTOP)
        begin = time.monotonic()
        time.sleep(RELEASE_AFTER)
        for number in range(NEW_REPLICAS if RELEASE else 0):
            add(ReleasedReplica(fleet.store, "i-new%d" % number, "llm", "een", version="v2", events=EVENTS, event_seconds=EVENT_SECONDS))
        time.sleep(max(0.0, begin + ABANDON_SECONDS - time.monotonic()))
        others = [Client(record, "n%d" % number, fleet.hosts[:-1], fleet.hosts[number % (HOSTS - 1)]) for number in range(STREAMS)]
        time.sleep(max(0.0, begin + FREEZE_SECONDS - time.monotonic()))
        if FREEZE:
            record.note("%s goes on" % frozen.name)
            frozen.process.send_signal(signal.SIGCONT)
        for client in (*streams, *others):
            client.thread.join()
        taken_up = [client for client in streams if client.taken_up]
        went_on = [client for client in taken_up if client.went_on]
        begun = [client for client in others if client.events]
        share_on, share_begun = len(went_on) / max(1, len(taken_up)), len(begun) / len(others)
        for host in fleet.hosts[:-1]:
            for line in host.events("stream_taken_up")[:3]:
                record.note("log of %s: %s" % (host.name, {name: line[name] for name in ("request_id", "status", "reason", "record", "asked", "answered")}))
        record.note("%d streams were taken up, %d of them went on (%.2f); %d of %d new streams began (%.2f)" % (len(taken_up), len(went_on), share_on, len(begun), len(others), share_begun))
        if len(taken_up) < LEAST_TAKEN_UP:
            if FREEZE:
                raise CannotRun("too few streams were taken up")
            return HELD
        return BROKEN if share_on < share_begun / 2 else HELD
    finally:
        if frozen.is_running():
            frozen.process.send_signal(signal.SIGCONT)
        fleet.close()


run_case(FOLDER, case)
