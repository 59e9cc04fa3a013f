"""Streams of several software versions around the loss of all hosts. Usage: versionstest.py BAOBABSTALLD [Versions.NAME...]"""
import http.client
import pathlib
import signal
import sys
import threading
import time
import unittest

import hostedtest
from hostedtest import Host, wait_until

from hosting import Replica, Server

LONGEST_STREAM_SECONDS = 13.5  # the route's time limit, and what streams may last beyond it
DEADLINE_SECONDS = 8.0
EVENTS = 60


class Front(Server):
    """One host's way to the store, which may turn it away."""

    def __init__(self, store):
        self.store, self.turns_away, self.refuses_appends = store, False, False
        self.copied_at = 0.0  # when the host last wrote the copy of the upstreams
        super().__init__()

    def common_headers(self):
        return self.store.common_headers()

    def handle(self, request):
        if self.turns_away:
            request.answer(503)
            return
        if self.refuses_appends and "log-append" in request.path:
            request.answer(507)
            return
        if "log-append" in request.path and b"\x09upstreams" in request.body:
            self.copied_at = time.monotonic()
        self.store.handle(request)


class Stream:
    """A stream whose caller takes it up when it breaks off."""

    def __init__(self, name, hosts, patience=DEADLINE_SECONDS + 1):
        self.name, self.hosts = name, hosts
        self.patience = patience  # seconds without an event, after which the caller leaves
        self.begun_at = time.monotonic()
        self.attempts, self.events = [], 0
        self.statuses = []
        self.is_whole = False

    def left(self):
        return DEADLINE_SECONDS - (time.monotonic() - self.begun_at)

    def read(self, host):
        """One try. Returns when to come back."""
        attempt = "%s-%d" % (self.name, len(self.attempts))
        headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Model-Id": "base", "X-Deadline-Ms": str(int(1000 * self.left())), "X-Token-Usage": "60,480"}
        if self.events:
            headers |= {"Resumes": self.attempts[0], "Last-Event-Id": str(self.events)}
        connection = http.client.HTTPConnection(host.callers, timeout=self.patience)
        retry, status = 0.2, 0
        try:
            connection.request("POST", "/gen/x", body=b"prompt of " + self.name.encode(), headers=headers)
            answer = connection.getresponse()
            status, retry = answer.status, float(answer.headers.get("Retry-After") or retry)
            for line in answer if status == 200 else ():
                if line.startswith(b"id: "):
                    self.attempts += [] if attempt in self.attempts else [attempt]
                    self.events = int(line[4:])
            self.is_whole = self.events == EVENTS
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.statuses.append(status)
        return retry

    def run(self):
        turn = 0
        while not self.is_whole and self.left() > 0.3:
            retry = self.read(self.hosts[turn % len(self.hosts)])
            turn += 1
            if not self.is_whole:
                time.sleep(max(0.0, min(retry, self.left())))


class Versions(hostedtest.Hosted):
    HOSTS = 3

    def setUp(self):
        super().setUp()
        self.fronts = [Front(self.store) for _ in range(self.HOSTS)]
        self.hosts = [Host(n + 1, front, pathlib.Path(self.folder.name)) for n, front in enumerate(self.fronts)]
        for front in self.fronts:
            self.addCleanup(front.close)
        for replica in self.replicas:
            replica.events, replica.event_seconds, replica.slots = EVENTS, 0.08, 24

    def add_replica(self, name, version):
        replica = Replica(self.store, name, "llm", "a", model="base", version=version, events=EVENTS, event_seconds=0.08)
        replica.slots = 24
        replica.register()
        self.replicas.append(replica)
        return replica

    def start_hosts(self):
        for host in self.hosts:
            host.start()
        self.assertTrue(wait_until(lambda: all(host.ready() for host in self.hosts)), self.states("not ready"))

    def begin(self, count, hosts_of=None, **more):
        """Streams that last 4.8 s, through all hosts or those of hosts_of(number), in turn."""
        hosts_of = hosts_of or (lambda n: self.hosts[n % self.HOSTS :] + self.hosts[: n % self.HOSTS])
        streams = [Stream("s%d" % next(self.numbers), hosts_of(n), **more) for n in range(count)]
        threads = [threading.Thread(target=stream.run) for stream in streams]
        for thread in threads:
            thread.start()
        return streams, threads

    def kill_all(self, down_seconds):
        for host in self.hosts:
            host.process.send_signal(signal.SIGKILL)
        for host in self.hosts:
            host.process.wait(10)
        time.sleep(down_seconds)

    def versions_of(self, stream):
        """Of the replicas that gave it events."""
        return {version for replica in self.replicas for ran, _resumes, version in replica.streams if ran in stream.attempts}

    def attempts_at(self, version):
        return {ran for replica in self.replicas for ran, _resumes, its in replica.streams if its == version}

    def expect_unmixed(self, streams):
        mixed = [(stream.name, stream.attempts) for stream in streams if len(self.versions_of(stream)) > 1]
        self.assertEqual(mixed, [], "%d of %d streams hold events of two versions" % (len(mixed), len(streams)))

    # Guards against streams that go on at another version after all hosts were killed, as theirs came and left while the store turned the one host
    # away that wrote down which versions there are (review/7, ORDER).
    def test_streams_of_a_version_that_came_and_left_while_the_store_turned_a_host_away_go_on_at_no_other(self):
        self.start_hosts()
        time.sleep(LONGEST_STREAM_SECONDS)
        self.shops.append(Replica(self.store, "i-shop2", "shop", "a"))  # the copy of the upstreams is written
        time.sleep(2)
        max(self.fronts, key=lambda front: front.copied_at).turns_away = True
        new = self.add_replica("i-new", "v2")
        time.sleep(3.0)
        streams, threads = self.begin(36)
        self.assertTrue(wait_until(lambda: len(self.attempts_at("v2")) >= 6, 3), self.states("no stream began at v2"))
        time.sleep(0.5)
        new.left = True
        new.register("draining")
        time.sleep(0.3)
        self.kill_all(0.2)
        self.store.put("keyed.servers", new.name, b"")
        for front in self.fronts:
            front.turns_away = False
        self.start_hosts()
        for thread in threads:
            thread.join()
        self.expect_unmixed(streams)
        whole = [stream for stream in streams if self.versions_of(stream) == {"v1"} and stream.is_whole]
        at_old = [stream for stream in streams if self.versions_of(stream) == {"v1"}]
        self.assertGreaterEqual(len(whole), len(at_old) // 2, [stream.statuses for stream in at_old])

    # Guards against a host that is cut off and takes the one version that it has heard of for the only one (review/11, ORDER).
    def test_streams_of_a_new_version_go_on_at_no_host_that_was_cut_off_before_it_came(self):
        *others, cut = self.hosts
        slow_to_notice = {"hosting": {"grace_s": 6, "drain_ms": 8000}}
        self.hosts[-1] = cut = Host(cut.number, self.fronts[-1], pathlib.Path(self.folder.name), slow_to_notice)
        port_of = lambda host: host.peers.split(":")[1]
        cut.links_cut.write_text(" ".join(["0", *map(port_of, others)]))
        for host in others:
            host.links_cut.write_text("0 " + port_of(cut))
        self.start_hosts()
        time.sleep(LONGEST_STREAM_SECONDS)
        self.fronts[-1].turns_away = True
        time.sleep(0.6)  # a read that is held open ends
        new = self.add_replica("i-new", "v2")
        streams, threads, begin = [], [], time.monotonic()
        while len(self.attempts_at("v2")) < 8 and time.monotonic() - begin < 4:
            more = self.begin(2, lambda n: [others[n], cut] + 40 * [others[n], cut])
            streams += more[0]
            threads += more[1]
            time.sleep(0.1)
        new.left = True
        new.handle = new.crash_under
        new.close_connections()
        for thread in threads:
            thread.join()
        self.assertGreaterEqual(len(self.attempts_at("v2")), 8, self.states("too few streams began at v2"))
        self.expect_unmixed(streams)
        came = [line for line in cut.events("stream_taken_up") if line["reason"] == "stream_not_known"]
        self.assertGreaterEqual(len(came), 8, cut.events("stream_taken_up")[-4:])
        at_old = [stream for stream in streams if self.versions_of(stream) == {"v1"}]
        self.assertEqual([stream.statuses for stream in at_old if stream.statuses != [200]], [])

    # Guards against streams that are refused because their host, which fell silent as a release began, had told nobody where they began (review/13, LOST).
    def test_streams_of_a_host_that_freezes_as_a_release_begins_go_on_at_the_others(self):
        self.start_hosts()
        time.sleep(LONGEST_STREAM_SECONDS)
        *others, frozen = self.hosts
        streams, threads = self.begin(18, lambda n: [frozen] + 20 * [others[n % 2], others[1 - n % 2]], patience=1.5)
        time.sleep(1.5)
        frozen.process.send_signal(signal.SIGSTOP)
        try:
            time.sleep(0.3)
            for number in range(2):
                self.add_replica("i-new%d" % number, "v2")
            for thread in threads:
                thread.join()
        finally:
            frozen.process.send_signal(signal.SIGCONT)
        self.expect_unmixed(streams)
        refused = [stream.statuses for stream in streams if stream.statuses[1:2] != [200]]
        self.assertEqual(refused, [], "at the first try at another host; %d of %d" % (len(refused), len(streams)))

    def check_taken_up(self, streams, threads, what=""):
        """Half of them at least go on, each at its version."""
        for thread in threads:
            thread.join()
        self.expect_unmixed(streams)
        whole = [stream for stream in streams if stream.is_whole]
        lost = [(stream.name, self.versions_of(stream), stream.events, stream.statuses) for stream in streams if not stream.is_whole]
        self.assertGreaterEqual(len(whole), len(streams) // 2, "%s: %d of %d went on; %s" % (what, len(whole), len(streams), lost[:6]))
        self.assertEqual({version for stream in whole for version in self.versions_of(stream)}, {replica.version for replica in self.replicas if not replica.left})

    def start_two_versions(self):
        for number in range(2):
            self.add_replica("i-new%d" % number, "v2")
        self.start_hosts()
        time.sleep(1)

    # Guards against streams that are refused after all hosts were killed while two versions serve, as only hosts knew where they began (review/8, LOST).
    def test_streams_of_two_versions_go_on_after_all_hosts_were_killed(self):
        self.start_two_versions()
        streams, threads = self.begin(24)
        time.sleep(1.5)
        self.kill_all(0.3)
        self.start_hosts()
        self.check_taken_up(streams, threads)
        found = [line["record"] for host in self.hosts for line in host.events("stream_taken_up") if line["reason"] == "served"]
        self.assertIn("stored", found)

    # The same, where the first hosts to start are killed again before they have written anything themselves.
    def test_streams_of_two_versions_go_on_after_all_hosts_were_killed_twice(self):
        self.start_two_versions()
        for replica in self.replicas:
            replica.event_seconds = 0.1
        streams, threads = self.begin(24)
        time.sleep(1.5)
        self.kill_all(0.1)
        for host in self.hosts:
            host.start()
        time.sleep(0.7)
        self.kill_all(0.1)
        self.start_hosts()
        self.check_taken_up(streams, threads)

    # The same in the first second of a release: the streams that run began while their service had one version.
    def test_streams_go_on_when_all_hosts_are_killed_as_a_release_begins(self):
        self.start_hosts()
        time.sleep(1)
        streams, threads = self.begin(24)
        time.sleep(1.0)
        for number in range(2):
            self.add_replica("i-new%d" % number, "v2").left = True  # it gives no event
        time.sleep(0.7)
        self.kill_all(0.3)
        self.start_hosts()
        self.check_taken_up(streams, threads)

    # Guards against a host that waits for the store, or goes on wrongly, while the store rejects, is full, or comes back as an earlier copy.
    def test_streams_begin_while_the_store_takes_no_records_of_them(self):
        self.start_two_versions()
        for front in self.fronts:
            front.refuses_appends = True
        streams, threads = self.begin(12)
        for thread in threads:
            thread.join()
        self.assertEqual([stream.statuses for stream in streams if stream.statuses != [200]], [])
        self.assertTrue(any(host.events("streams_not_stored") for host in self.hosts))
        streams, threads = self.begin(12)
        time.sleep(1.2)
        self.kill_all(0.3)
        for front in self.fronts:
            front.refuses_appends = False
        self.store.rewind({"keyed.control": len(self.store.topics["keyed.control"]) // 2})
        self.start_hosts()
        for thread in threads:
            thread.join()
        self.expect_unmixed(streams)

    # Cost: a service with one version.
    def test_no_stream_is_stored_while_its_service_has_one_version(self):
        self.start_hosts()
        streams, threads = self.begin(12)
        for thread in threads:
            thread.join()
        self.assertEqual([stream.statuses for stream in streams if stream.statuses != [200]], [])
        self.assertNotIn("keyed.streams", self.store.topics)


if __name__ == "__main__":
    hostedtest.DAEMON = sys.argv.pop(1)
    if len(sys.argv) == 1:  # those of the base class run in hostedtest.py
        sys.argv += hostedtest.without_known_red(["Versions." + name for name in vars(Versions) if name.startswith("test_")])
    unittest.main(verbosity=2, warnings="ignore")
