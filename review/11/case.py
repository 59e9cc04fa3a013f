"""Streams that begin at a new software version are taken up at an entry host that was cut off before it came."""
import http.client
import os
import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from fleet import BROKEN, HELD, TROUBLE, CannotRun, CuttableFleet, ReleasedReplica, Replica, configuration, run_case  # noqa: E402

# Of grown/vloerwerk-plan-grown.toml, which has 87 machines.
BOUNDS = {"contact_ms": 4000, "drain_ms": 3000, "config_apply_ms": 3000, "budget_slack": 214}
LIMITS = {"cpu_quota": 0.12, "memory_limit_mb": 160, "bandwidth_mbps": 10.0}
HOSTS, CUT_HOSTS, OLD_REPLICAS = 30, 3, 3
EVENTS, EVENT_SECONDS = 60, 0.08
DEADLINE_SECONDS = 8.0
ONE_VERSION_SECONDS = 15.0  # longer than any stream lasts: the route's 8 s and 5 s for late records
CUT_SECONDS = 12.0
LEAST_BEGUN, LIFE_SECONDS = 16, 8.0  # streams at the new replica when it crashes; if they are fewer after so long, the case has not run
MOST_MIXED = 2
CUT = TROUBLE and os.environ.get("CUT", "1") != "0"


class Client:
    """One stream and what its client does for it: it comes back at another host, with the last event that it has."""

    def __init__(self, record, name, hosts, first):
        self.record, self.name, self.hosts, self.first = record, name, hosts, first
        self.began = time.monotonic()
        self.attempts, self.origin, self.events = [], None, 0
        self.versions = []  # as its events name them, in order
        self.draw = random.Random(name)

    def left(self):
        return DEADLINE_SECONDS - (time.monotonic() - self.began)

    def attempt(self, host):
        attempt = "%s-%d" % (self.name, len(self.attempts))
        self.attempts.append(attempt)
        headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Model-Id": "base", "X-Token-Usage": "60,480", "X-Deadline-Ms": str(int(1000 * self.left()))}
        if self.events:
            headers |= {"Resumes": self.origin, "Last-Event-Id": str(self.events)}
        before, status, retry = self.events, 0, 0.1
        connection = http.client.HTTPConnection(host.callers, timeout=DEADLINE_SECONDS)
        try:
            connection.request("POST", "/gen/x", body=b"prompt of " + self.name.encode(), headers=headers)
            answer = connection.getresponse()
            status, retry = answer.status, float(answer.headers.get("Retry-After") or retry)
            for line in answer if status == 200 else ():
                if line.startswith(b"id: "):
                    self.origin = self.origin or attempt
                    self.events = int(line[4:])
                elif line.startswith(b"version: ") and line[9:].strip().decode() not in self.versions[-1:]:
                    self.versions.append(line[9:].strip().decode())
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.record.note("%s at %s: status %d, %d events, has %d of %s%s" % (attempt, host.name, status, self.events - before, self.events, self.versions or "none", ", resumes " + self.origin if before else ""))
        return retry

    def run(self):
        host = self.first
        while self.events < EVENTS and self.left() > 0.3:
            retry = self.attempt(host)
            if self.events < EVENTS:
                time.sleep(max(0.0, min(retry, self.left())))
                host = self.draw.choice([each for each in self.hosts if each is not host])  # tries again reach other hosts


def case(record):
    fleet = CuttableFleet(record, CUT_HOSTS, hosts=HOSTS, bounds=BOUNDS, limits=LIMITS)
    try:
        settings = configuration(3)
        settings["services"][0]["runtime"]["loads_per_s"] = 29.0
        fleet.store.put("keyed.op", "config", settings)

        def add(replica):
            replica.slots, replica.names_version = 64, True
            replica.register()
            fleet.replicas.append(replica)
            record.note("replica %s of version %s is registered" % (replica.name, replica.version))
            return replica

        for number in range(OLD_REPLICAS):
            add(Replica(fleet.store, "i-old%d" % number, "llm", "een", model="base", version="v1", events=EVENTS, event_seconds=EVENT_SECONDS))
        fleet.replicas.append(Replica(fleet.store, "i-shop", "shop", "een"))
        fleet.start()
        record.note("all hosts are ready")
        time.sleep(ONE_VERSION_SECONDS)
        if CUT:
            fleet.cut()
            threading.Timer(CUT_SECONDS, fleet.heal).start()
        time.sleep(0.1)
        new = add(ReleasedReplica(fleet.store, "i-new", "llm", "een", version="v2", events=EVENTS, event_seconds=EVENT_SECONDS))
        clients, threads = [], []
        begin = time.monotonic()
        while len(new.streams) < LEAST_BEGUN and time.monotonic() - begin < LIFE_SECONDS:  # new streams at the hosts that are not cut off
            client = Client(record, "s%d" % len(clients), fleet.hosts, fleet.hosts[len(clients) % (HOSTS - CUT_HOSTS)])
            thread = threading.Thread(target=client.run)
            thread.start()
            clients.append(client)
            threads.append(thread)
            time.sleep(0.02 if new.held_models() else 0.2)
        time.sleep(0.2)
        record.note("%.2f s after it has registered %d streams have events from i-new" % (time.monotonic() - begin, len(new.streams)))
        if TROUBLE:
            record.note("replica i-new crashes; its entry goes three heartbeats later")
            new.crash()
        for thread in threads:
            thread.join()
        if os.environ.get("DEBUG"):
            record.note("orders at i-new: %s" % [(round(at - begin, 2), *rest) for at, *rest in new.orders[:5]])
            for host in fleet.hosts:
                for line in [each for each in host.events("ownership") + host.events("order") if each.get("upstream") == "i-new"][:4]:
                    record.note("%s %s" % (host.name, {key: line.get(key) for key in ("time", "event", "change", "kind", "outcome", "answer")}))
        mixed = [client for client in clients if len(client.versions) > 1]
        for client in mixed:
            record.note("MIXED: stream %s holds events of %s, by attempts %s" % (client.name, client.versions, client.attempts))
        for host in fleet.cut_hosts:
            for line in host.events("stream_taken_up"):
                record.note("log of %s: %s" % (host.name, {name: line[name] for name in ("request_id", "reason", "record", "asked", "answered", "version")}))
        at_new = sum(1 for client in clients if "v2" in client.versions)
        record.note("%d streams, %d with events of v2, %d of two versions; at most %d may be" % (len(clients), at_new, len(mixed), MOST_MIXED))
        if at_new <= MOST_MIXED:
            raise CannotRun("too few streams began at the new version")
        return BROKEN if len(mixed) > MOST_MIXED else HELD
    finally:
        fleet.close()


run_case(FOLDER, case)
