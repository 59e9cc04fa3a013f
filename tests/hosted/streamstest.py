"""Streams go on to their last event whatever changes around them: owners, adapters, records, the store. Usage: streamstest.py BAOBABSTALLD [NAME...]"""
import collections
import itertools
import pathlib
import signal
import socket
import sys
import tempfile
import threading
import time
import unittest

import hostedtest
from hostedtest import Host, wait_until

from hosting import Replica, Store, configuration
from proxy import Proxy

EVENTS = 16
QUICK_SECONDS = 0.005  # between events


class WatchedReplica(Replica):
    """Streams of the adapters that a test watches are slow, and orders that would end one are kept."""

    def __init__(self, *arguments, **named):
        self.thread = threading.local()
        self.pace = QUICK_SECONDS  # seconds between events of watched streams
        self.watched = set()  # adapters
        self.running_of = collections.Counter()  # streams of these
        self.unloaded_amid = []  # (holder of the order, adapter)
        super().__init__(*arguments, **named)

    @property
    def event_seconds(self):
        return self.pace if getattr(self.thread, "is_watched", False) else QUICK_SECONDS

    @event_seconds.setter
    def event_seconds(self, _seconds):
        pass

    def order(self, order):
        adapter = order.get("adapter")
        if order["operation"] == "unload" and self.running_of[adapter] > 0:
            self.unloaded_amid.append((order["holder"], adapter))
        return super().order(order)

    def run(self, request):
        adapter = (request.headers.get("X-Model-Id") or "/").split("/")[1]
        self.thread.is_watched = adapter in self.watched
        with self.lock:
            self.running_of[adapter] += 1
        try:
            super().run(request)
        finally:
            with self.lock:
                self.running_of[adapter] -= 1


class StorePath(Proxy):
    """One host's way to the store."""

    def close_connections(self):
        """In order, as a store does that closes what is open."""
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            for end in pair:
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # closed already

    def be_silent(self):
        self.silent = {"there", "back"}

    def be_down(self):
        self.refusing = True
        self.close_connections()

    def come_back(self):
        self.refusing = False
        self.silent = set()


class Streams(hostedtest.Hosted):
    HOSTS = 4
    ADAPTERS = ("k0", "k1", "k2")

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store.put("keyed.op", "config", configuration(3))
        self.replicas = [WatchedReplica(self.store, "i-llm%d" % number, "llm", "a", model="base", events=EVENTS) for number in range(2)]
        self.shop = Replica(self.store, "i-shop", "shop", "a")
        self.shops = [self.shop]
        self.paths = [StorePath(self.store.address) for _ in range(self.HOSTS)]
        self.hosts = [Host(n + 1, path, pathlib.Path(self.folder.name)) for n, path in enumerate(self.paths)]
        self.numbers = itertools.count(1)
        for path in self.paths:
            self.addCleanup(path.close)

    def start_all(self):
        super().start_all()
        served = lambda: all(self.generate(host, adapter)[0] == 200 for host in self.hosts for adapter in self.ADAPTERS)
        self.assertTrue(wait_until(served), self.states("adapters not served"))
        for replica in self.replicas:
            replica.watched = set(self.ADAPTERS)
            replica.unloaded_amid.clear()

    def in_thread(self, work, *arguments):
        thread = threading.Thread(target=work, args=arguments)
        thread.start()
        return thread

    def begin(self, hosts, seconds):
        """A stream of each adapter through each of these hosts; they last so long and have begun."""
        for replica in self.replicas:
            replica.pace = seconds / EVENTS
        before, results = self.begun(), []
        work = lambda host, adapter: results.append((host.name, *self.generate(host, adapter)))
        threads = [self.in_thread(work, host, adapter) for host in hosts for adapter in self.ADAPTERS]
        self.assertTrue(wait_until(lambda: self.begun() - before >= len(threads), seconds), self.states("%d streams have begun" % (self.begun() - before)))
        return threads, results

    def begun(self):
        return sum(len(replica.streams) for replica in self.replicas)

    def watched_run(self):
        return sum(replica.running_of[adapter] for replica in self.replicas for adapter in self.ADAPTERS)

    def claims(self, host, replica):
        return [line["epoch"] for line in host.events("ownership") if (line["upstream"], line["change"]) == (replica.name, "claimed")]

    def owner_of(self, replica):
        """A host that runs."""
        owners = lambda: [(max(self.claims(host, replica)), host) for host in self.hosts if host.process.poll() is None and self.claims(host, replica)]
        self.assertTrue(wait_until(owners), self.states("nobody owns " + replica.name))
        return max(owners(), key=lambda each: each[0])[1]

    def expect_whole(self, threads, results, what=""):
        """Each ran once, to its last event, and its caller has all of it; nothing ended it meanwhile."""
        for thread in threads:
            thread.join()
        ran = collections.Counter(attempt for replica in self.replicas for attempt in replica.ran)
        finished = lambda: {attempt for replica in self.replicas for attempt in replica.finished}
        expected = lambda attempt: b"".join(b"id: %d\ndata: %s\n\n" % (number, attempt.encode()) for number in range(1, EVENTS + 1))
        ids = {attempt for *_, attempt in results}
        ends = [line for host in self.hosts for line in host.events("send_ended") if line["request_id"] in ids and line["outcome"] != "not_run"]
        broken = [(name, attempt, status, len(body)) for name, status, _, body, attempt in results if status != 200 or body != expected(attempt)]
        self.assertEqual(broken, [], "%s: not whole; %s" % (what, ends[:3]))
        wait_until(lambda: ids <= finished(), 5)  # a caller can have the last bytes before the replica notes that they are written
        self.assertEqual([attempt for attempt in ids if ran[attempt] != 1 or attempt not in finished()], [], "%s: cut at a replica; %s" % (what, ends[:3]))
        self.assertEqual(ends, [], what)
        self.assertEqual([each for replica in self.replicas for each in replica.unloaded_amid], [], what + ": adapters of streams that ran")

    def ask_for_others(self, hosts, prefix, count=12):
        """More adapters than there is room for. Returns how many were served."""
        results = []
        threads = [self.in_thread(lambda n=n: results.append(self.generate(hosts[n % len(hosts)], "%s%d" % (prefix, n), timeout=2)[0])) for n in range(count)]
        for thread in threads:
            thread.join()
        return results.count(200)

    # Guards against a next owner of a replica whose orders end the streams of a host that it knows little of (issue 46, hypothesis 3).
    def check_owner_that_ends(self, number):
        self.start_all()
        replica = self.replicas[0]
        owner = self.owner_of(replica)
        others = [host for host in self.hosts if host is not owner]
        threads, results = self.begin(others if number == signal.SIGKILL else self.hosts, 4.8)
        before = {host: len(self.claims(host, replica)) for host in others}
        owner.process.send_signal(number)
        ran_then, asked = 0, []  # streams that ran when the next owner had claimed the replica
        while self.watched_run() > 0:
            asked.append(self.in_thread(self.ask_for_others, others, "n%d-" % len(asked), 4))
            time.sleep(0.4)
            if any(len(self.claims(host, replica)) > before[host] for host in others):
                ran_then = ran_then or self.watched_run()
        for thread in asked:
            thread.join()
        self.expect_whole(threads, results)
        self.assertGreaterEqual(ran_then, len(self.ADAPTERS), self.states("streams that ran when the next owner had claimed the replica"))

    def test_streams_go_on_when_the_owner_of_their_replica_stops(self):
        self.check_owner_that_ends(signal.SIGTERM)

    def test_streams_go_on_when_the_owner_of_their_replica_is_killed(self):
        self.check_owner_that_ends(signal.SIGKILL)

    # Guards against an adapter that is replaced while streams of other hosts than its replica's owner use it (issue 46, hypothesis 3).
    def test_streams_go_on_when_other_adapters_are_wanted_in_place_of_theirs(self):
        self.start_all()
        threads, results = self.begin(self.hosts, 4.0)
        served = sum(self.ask_for_others(self.hosts, "n%d-" % turn) for turn in range(2))
        unloaded = [order for replica in self.replicas for order in replica.orders if order[3] == "unload"]
        self.expect_whole(threads, results)
        self.assertGreater(served, 0)
        self.assertTrue(unloaded, "adapters were replaced")

    # Guards against streams that are ended at a replica that runs on while its record says otherwise (issue 46, hypothesis 3).
    def test_streams_go_on_when_the_records_of_their_replicas_change(self):
        self.start_all()
        threads, results = self.begin(self.hosts, 4.5)
        changes = [
            lambda replica, record: record | {"slots": 4, "sequence": replica.sequence + 5, "models": []},
            lambda replica, record: record | {"service": "shop"},
            lambda replica, record: record | {"state": "draining"},
            lambda replica, record: record | {"born": replica.born + 60_000, "sequence": 0},  # another run
            lambda replica, record: b"",  # gone
        ]
        asked = []
        for number, change in enumerate(changes):
            for replica in self.replicas:
                record = {"service": "llm", "address": replica.address, "zone": "a", "version": "v1", "slots": 8, "state": "ready"}
                record |= {"cold_remaining_ms": 0, "models": replica.held_models(), "sequence": replica.sequence, "born": replica.born}
                self.store.put("keyed.servers", replica.name, change(replica, record))
            asked.append(self.in_thread(self.ask_for_others, self.hosts, "n%d-" % number, 4))
            time.sleep(0.6)
        ran_then = self.watched_run()
        for thread in asked:
            thread.join()
        self.expect_whole(threads, results)
        self.assertEqual(ran_then, len(threads), "streams that ran when the last record was read")
        for host in self.hosts:
            seen = {line["change"] for line in host.events("upstream_changed") if line["upstream"] == self.replicas[0].name}
            self.assertLessEqual({"leaving", "restarted", "gone"}, {change.rsplit("_", 1)[-1] for change in seen}, seen)

    # Guards against streams that end as the store is lost around a planned stop, at the stopping host or at those that take over (issue 46).
    def check_store_trouble(self, begins):
        self.start_all()
        for where in ("stopping host", "next owners", "all hosts"):
            with self.subTest(where=where):
                stopping = self.owner_of(self.replicas[0])
                running = [host for host in self.hosts if host.process.poll() is None]
                paths = [path for path, host in zip(self.paths, self.hosts) if where == "all hosts" or (host is stopping) == (where == "stopping host")]
                threads, results = self.begin(running, 2.4)
                for path in paths:
                    begins(path)
                stopping.process.send_signal(signal.SIGTERM)
                time.sleep(0.6)
                for path in paths:
                    begins(path)
                time.sleep(0.6)
                ran_then = self.watched_run()
                for path in paths:
                    path.come_back()
                self.expect_whole(threads, results, where)
                self.assertEqual(stopping.process.wait(8), 0)
                self.assertTrue(wait_until(lambda: stopping.events("stopped"), 2))
                self.assertEqual(stopping.events("stopped")[-1]["unfinished"], 0)
                self.assertEqual(ran_then, len(threads), "streams that ran when the store was back")

    def test_streams_go_on_when_the_store_closes_its_connections_beside_a_planned_stop(self):
        self.check_store_trouble(StorePath.close_connections)

    def test_streams_go_on_when_the_store_is_silent_beside_a_planned_stop(self):
        self.check_store_trouble(StorePath.be_silent)

    def test_streams_go_on_when_the_store_is_down_for_a_while_beside_a_planned_stop(self):
        self.check_store_trouble(StorePath.be_down)


if __name__ == "__main__":
    hostedtest.DAEMON = sys.argv.pop(1)
    if len(sys.argv) == 1:  # those of the base class run in hostedtest.py
        sys.argv += ["Streams." + name for name in vars(Streams) if name.startswith("test_")]
    unittest.main(verbosity=2, warnings="ignore")
