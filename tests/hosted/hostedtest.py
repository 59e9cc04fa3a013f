"""Hosted daemons as real processes against the stand-ins of the platform (standins/hosting). Usage: hostedtest.py BAOBABSTALLD [--beside BAOBABSTALLD] [--half 1|2] [NAME...]
--beside: a daemon of another build, which runs on every second host of a test, as during an upgrade."""
import collections
import datetime
import http.client
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "standins" / "hosting"))
from hosting import EndlessReplica, Replica, Store, configuration  # noqa: E402
from proxy import Link, Proxy  # noqa: E402

DAEMON = None
BESIDE = None
LEASE_MS = 1500
CONTACT_SECONDS = 3.0  # the platform's contact_ms: until all hosts know what one has found
PATIENCE_SECONDS = 20  # longest wait for something that must happen; only a failing test reaches it


FIRST_PORT, SLICE_PORTS, SLICES = 10_000, 500, 44  # below the range that the kernel hands out, so that nobody takes them while their host is down
DRAWN = set()


def without_known_red(names):
    """Those of `names` (SUITE.NAME) that scripts/known-red doesn't run."""
    listed = (ROOT / "KNOWN-RED.txt").read_text()
    print("known red, run by scripts/known-red:", [name for name in names if "test " + name + " " in listed])
    return [name for name in names if "test " + name + " " not in listed]


def free_port():
    """Never the same twice in one process; processes that run at the same time draw from slices of their own."""
    begin = FIRST_PORT + os.getpid() % SLICES * SLICE_PORTS
    while True:
        port = random.SystemRandom().randrange(begin, begin + SLICE_PORTS)
        if port in DRAWN and len(DRAWN) < SLICE_PORTS // 2:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue  # somebody else's
        DRAWN.add(port)
        return port


def wait_until(condition, seconds=PATIENCE_SECONDS):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.02)
    return False


class Blackhole:
    """A port to which connections hang: its listener accepts nothing, and its queue is full."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port = self.listener.getsockname()[1]
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))

    def close(self):
        for each in (self.listener, *self.fillers):
            each.close()


class Host:
    def __init__(self, number, store, folder, more=None):
        self.number = number
        self.name = "entry-%d" % number
        self.callers, self.peers, self.operators = ("127.0.0.1:%d" % free_port() for _ in range(3))
        settings = {
            "host": self.name,
            "zone": "a",
            "region": "local",
            "listen": {"callers": self.callers, "peers": self.peers, "operators": self.operators},
            "platform": {"address": store.address},
            "ownership": {"handover_delay_ms": 60000, "claim_delay_ms": 600, "claims_of": "host", "lease_wait_ms": LEASE_MS, "minority_delay_ms": 3000},
            "logging": {"file": "-"},
            "hosting": {"grace_s": 6},
        }
        settings.update(more or {})
        self.settings = folder / (self.name + ".json")
        self.settings.write_text(json.dumps(settings))
        self.links_cut = folder / (self.name + ".cut")
        self.silenced_ports = set()
        self.process = None
        self.log = []
        self.reads_log = True

    def start(self):
        self.process = subprocess.Popen([self.daemon(), "--hosted", "--settings", str(self.settings)], stdout=subprocess.PIPE, stderr=subprocess.PIPE, env=self.environment())
        if self.reads_log:
            threading.Thread(target=self.read_log, args=(self.process.stdout,), daemon=True).start()

    def daemon(self):
        return BESIDE if BESIDE and self.number % 2 else DAEMON

    def environment(self):
        library = pathlib.Path(DAEMON).resolve().parent / "cutlinks.so"
        return os.environ | {"LD_PRELOAD": str(library), "CUT_LINKS": str(self.links_cut)}

    def cut_off(self, servers, how, blackhole):
        """From these servers. `how`: connections "hang", are "reset", or "live on" while new ones are refused."""
        ports = [server.address.split(":")[1] for server in servers]
        following = self.links_cut.with_suffix(".new")
        following.write_text(" ".join([str(blackhole.port if how == "hang" else 0), *ports]))
        following.replace(self.links_cut)
        own_ports = self.local_ports()
        self.silenced_ports |= own_ports if how == "hang" else set()
        for server in servers:
            if how == "reset":
                server.reset_connections(own_ports)
            elif how == "hang":
                server.silent_ports |= own_ports

    def mend(self, servers):
        self.links_cut.unlink()
        for server in servers:
            server.silent_ports -= self.silenced_ports
        self.silenced_ports = set()

    def local_ports(self):
        """Of this process's TCP connections."""
        sockets = set()
        try:
            descriptors = list(pathlib.Path("/proc/%d/fd" % self.process.pid).iterdir())
        except OSError:
            return set()  # the process has ended
        for descriptor in descriptors:
            try:
                sockets.add(os.readlink(descriptor))
            except OSError:
                pass  # closed meanwhile
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        return {int(line.split()[1].split(":")[1], 16) for line in lines if "socket:[%s]" % line.split()[9] in sockets}

    def read_log(self, stream):
        for line in stream:
            self.log.append(json.loads(line))

    def events(self, name):
        return [line for line in self.log if line["event"] == name]

    def state(self):
        """For the message of a failed check: whether the process lives, what it wrote last, and what it answers."""
        code = self.process.poll() if self.process else "not started"
        said = self.process.stderr.read().decode(errors="replace") if isinstance(code, int) else ""
        answer = ask(self.operators, "GET", "/any/readyz", timeout=2)[0]
        return "%s: exit code %s, stderr %r, readyz %s at %s, last lines %s" % (self.name, code, said, answer, self.operators, self.log[-4:])

    def ready(self):
        return ask(self.operators, "GET", "/any/readyz")[0] == 200

    def end(self, number, seconds=10):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.process.wait(seconds)
        return self.process.returncode if self.process else None


def ask(address, method, target, headers=None, body=None, timeout=10):
    """Status, headers and body; status 0 when there was no whole answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class Hosted(unittest.TestCase):
    HOSTS = 2

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store.put("keyed.op", "config", configuration(3))
        self.replicas = [Replica(self.store, "i-llm%d" % n, "llm", "a", model="base") for n in range(2)]
        self.shop = Replica(self.store, "i-shop", "shop", "a")
        self.shops = [self.shop]
        self.hosts = [Host(n + 1, self.store, pathlib.Path(self.folder.name)) for n in range(self.HOSTS)]
        self.numbers = itertools.count(1)  # of attempts; safe to draw from many threads

    def tearDown(self):
        for host in self.hosts:
            host.end(signal.SIGKILL)
            for stream in (host.process.stdout, host.process.stderr) if host.process else ():
                stream.close()
        violations = [violation for replica in self.replicas for violation in replica.violations]
        for server in (*self.replicas, *self.shops, self.store):
            server.close()
        self.folder.cleanup()
        self.assertEqual(violations, [])

    def start_all(self):
        for host in self.hosts:
            host.start()
        self.assertTrue(wait_until(lambda: all(host.ready() for host in self.hosts)), self.states("not ready"))
        self.assertTrue(wait_until(lambda: all(self.generate(host, "a1")[0] == 200 for host in self.hosts)), self.states("no generation served"))

    def states(self, what):
        """Text that is made only when it is printed: assertTrue() formats its message on failure."""
        test = self

        class Text:
            def __str__(self):
                return what + "; " + "; ".join(host.state() for host in test.hosts)

            __repr__ = __str__

        return Text()

    def generate(self, host, adapter, timeout=10, parts=None, model="base", target="/gen/x"):
        attempt = "q%d" % next(self.numbers)
        headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Model-Id": model + "/" + adapter, "X-Deadline-Ms": "6000"}
        headers |= {"X-Prompt-Prefix": parts} if parts else {}
        status, answer_headers, body = ask(host.callers, "POST", target, headers, b"prompt of " + attempt.encode(), timeout)
        return status, answer_headers, body, attempt

    def book(self, host, attempt=None, timeout=5):
        attempt = attempt or "b%d" % next(self.numbers)
        return ask(host.callers, "POST", "/book/x", {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500"}, b"seat 4", timeout)

    def whole_stream(self, attempt):
        return b"".join(b"id: %d\ndata: %s\n\n" % (number, attempt.encode()) for number in range(1, 9))

    def test_streams_and_calls_are_served_whole_through_each_host(self):
        self.start_all()
        for host in self.hosts:
            for adapter in ("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"):
                status, headers, body, attempt = self.generate(host, adapter)
                self.assertEqual((status, headers["X-Response-Seal"], body), (200, "seal-of-" + attempt, self.whole_stream(attempt)))
            status, headers, body = self.book(host)
            self.assertEqual((status, json.loads(body)["echo"]), (200, "seat 4"))
        for replica in self.replicas:
            self.assertLessEqual(len({order[1] for order in replica.orders}), 1, "one holder of orders for a replica")
        self.assertEqual(ask(self.hosts[0].callers, "GET", "/none/", {"Host": "h.example", "X-Attempt-Id": "n"})[0], 404)

    def cut_hosts_off(self, count, how, seconds=6.0):
        """Four hosts, of which `count` reach no upstream. Returns the statuses of first tries at those and at the others, by kind, from the time
        of contact after the cut began."""
        self.start_four_hosts()
        cut, stop, counts, answers = self.hosts[:count], threading.Event(), threading.Event(), []

        def work(host, kind):
            while not stop.is_set():
                is_counted = counts.is_set()
                begin = time.monotonic()
                if kind == "stream":
                    status, _, body, attempt = self.generate(host, "a1", timeout=7)
                    status = status if status != 200 or body == self.whole_stream(attempt) else -1
                else:
                    status = self.book(host)[0] if kind == "book" else self.look(host)
                if is_counted:
                    answers.append((host in cut, kind, status, time.monotonic() - begin))
                time.sleep(0.1)

        threads = [threading.Thread(target=work, args=(host, kind)) for host in self.hosts for kind in ("stream", "book", "look")]
        for thread in threads:
            thread.start()
        try:
            time.sleep(1.0)
            for host in cut:
                host.cut_off((*self.replicas, *self.shops), how, self.blackhole)
            time.sleep(CONTACT_SECONDS)
            counts.set()
            time.sleep(seconds)
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        return [(kind, status, took) for at_cut, kind, status, took in answers if at_cut], [each[1:] for each in answers if not each[0]]

    # Guards against callers of hosts that reach no upstream who are refused while those of other hosts are served (issue 32, RECOVER).
    def check_cut_hosts(self, count, how):
        at_cut, at_others = self.cut_hosts_off(count, how)
        share = {}
        for name, answers in (("cut", at_cut), ("others", at_others)):
            for kind in ("stream", "book", "look"):
                statuses = [status for each, status, _ in answers if each == kind]
                self.assertTrue(statuses, "%s at %s" % (kind, name))
                share[name, kind] = statuses.count(200) / len(statuses)
        for kind in ("stream", "book", "look"):
            self.assertGreaterEqual(share["cut", kind], 2 / 3 * share["others", kind], (how, share, sorted({each[:2] for each in at_cut})))
        served = [took for _, status, took in at_cut if status == 200]
        self.assertLess(sorted(served)[len(served) // 2], 1.0)

    def test_hosts_whose_connections_to_all_upstreams_hang_serve_their_callers(self):
        self.check_cut_hosts(2, "hang")

    def test_hosts_whose_connections_to_all_upstreams_are_reset_serve_their_callers(self):
        self.check_cut_hosts(2, "reset")

    def test_three_of_four_hosts_that_reach_no_upstream_serve_their_callers(self):
        self.check_cut_hosts(3, "reset")

    def test_hosts_whose_open_connections_live_on_while_new_ones_are_refused_serve_their_callers(self):
        self.check_cut_hosts(2, "live on")

    # Guards against a host without traffic that finds its links lost only when its callers come (issue 32, RECOVER).
    def test_a_host_without_traffic_notices_that_it_reaches_no_upstream_and_when_that_ends(self):
        self.start_four_hosts()
        servers, host = (*self.replicas, *self.shops), self.hosts[0]
        for how in ("hang", "reset", "live on"):
            seen = len(host.events("cut_off"))
            time.sleep(2.0)
            host.cut_off(servers, how, self.blackhole)
            self.assertTrue(wait_until(lambda: len(host.events("cut_off")) > seen, CONTACT_SECONDS), (how, host.log[-5:]))
            peers = ["baobabstall_cut_off_peers 1" in ask(other.operators, "GET", "/metrics")[2].decode() for other in self.hosts[1:]]
            self.assertTrue(wait_until(lambda: len(host.events("reaches_upstreams")) == seen, 1) and all(peers), (how, peers))
            host.mend(servers)
            self.assertTrue(wait_until(lambda: len(host.events("reaches_upstreams")) > seen, CONTACT_SECONDS), (how, host.log[-5:]))
        self.assertEqual([line for other in self.hosts[1:] for line in other.events("cut_off")], [])

    # Guards against taking the silence of a sound replica for a cut, a crash or a reason to run a request twice (issue 32, RECOVER).
    def test_a_replica_that_is_silent_for_a_second_costs_no_connection_and_no_second_run(self):
        proxies = []
        for shop in self.shops:
            proxies.append(Proxy(shop.address))
            inner, shop.address = shop.address, proxies[-1].address
            shop.register()
            shop.address = inner
            self.addCleanup(proxies[-1].close)
        self.start_all()
        self.shop.work_seconds = 0.1
        answers = []

        def work(host):
            for _ in range(12):
                attempt = "s%d" % next(self.numbers)
                answers.append((attempt, self.book(host, attempt)[0]))

        threads = [threading.Thread(target=work, args=(host,)) for host in self.hosts * 2]
        for thread in threads:
            thread.start()
        for _ in range(2):
            time.sleep(0.3)
            proxies[0].silent = {"there", "back"}
            time.sleep(1.0)
            proxies[0].silent = set()
        for thread in threads:
            thread.join()
        self.assertEqual([attempt for attempt, _ in answers if self.shop.ran.count(attempt) > 1], [])
        self.assertEqual(collections.Counter(status for _, status in answers), {200: len(answers)})
        events = [line for host in self.hosts for name in ("cut_off", "blamed", "send_ended") for line in host.events(name)]
        self.assertEqual(events, [])

    def start_four_hosts(self):
        self.hosts += [Host(number, self.store, pathlib.Path(self.folder.name)) for number in (3, 4)]
        self.shops += [Replica(self.store, "i-shop%d" % number, "shop", "a") for number in (2, 3)]
        self.blackhole = Blackhole()
        self.addCleanup(self.blackhole.close)
        self.start_all()

    # Guards against a request that runs twice, or runs though its caller was told that it did not, when the host that sends it for another dies.
    def test_relayed_requests_run_once_while_hosts_at_both_ends_are_killed(self):
        self.start_four_hosts()
        servers = (*self.replicas, *self.shops)
        for shop in self.shops:
            shop.work_seconds = 0.15
        for host in self.hosts[:2]:
            host.cut_off(servers, "reset", self.blackhole)
        stop, answers = threading.Event(), []

        def work(host):
            while not stop.is_set():
                attempt = "once%d" % next(self.numbers)
                answers.append((host, attempt, self.book(host, attempt)[0]))
                time.sleep(0.02)

        threads = [threading.Thread(target=work, args=(host,)) for host in self.hosts[:2] * 4]
        for thread in threads:
            thread.start()
        try:
            time.sleep(CONTACT_SECONDS)
            for host in (self.hosts[2], self.hosts[3], self.hosts[0]):
                host.end(signal.SIGKILL)
                time.sleep(0.7)
                host.start()
                self.assertTrue(wait_until(host.ready), host.state())
                time.sleep(1.0)
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        time.sleep(0.5)
        runs = collections.Counter(attempt for shop in self.shops for attempt in shop.ran)
        twice = [attempt for _, attempt, _ in answers if runs[attempt] > 1]
        wrongly_not_run = [attempt for _, attempt, status in answers if status == 503 and runs[attempt] > 0]
        self.assertEqual((twice, wrongly_not_run), ([], []))
        statuses = collections.Counter(status for _, _, status in answers)
        self.assertGreater(statuses[200], 100, statuses)
        self.assertTrue({status for status in statuses} <= {0, 200, 502, 503, 504}, statuses)
        self.assertGreater(sum(len([line for line in host.events("request") if line["relayed_for"]]) for host in self.hosts[2:]), 100)

    # Guards against hosts that go on relaying after a cut, or serve fewer while it comes and goes (issue 32, RECOVER).
    def test_a_host_sends_by_itself_after_a_cut_and_serves_while_its_links_flap(self):
        self.start_four_hosts()
        servers, host = (*self.replicas, *self.shops), self.hosts[0]
        stop, answers = threading.Event(), []

        def work():
            while not stop.is_set():
                answers.append((time.monotonic(), self.book(host)[0]))
                time.sleep(0.03)

        threads = [threading.Thread(target=work) for _ in range(3)]
        for thread in threads:
            thread.start()
        try:
            for _ in range(10):
                host.cut_off(servers, "reset", self.blackhole)
                time.sleep(0.5)
                host.mend(servers)
                time.sleep(0.5)
            flapped = [status for _, status in answers]
            self.assertTrue(wait_until(lambda: not [line for line in host.events("request")[-10:] if line["relayed_by"]], 5), "sends by itself again")
            since = time.monotonic()
            time.sleep(1.0)
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        self.assertGreaterEqual(flapped.count(200) / len(flapped), 2 / 3, collections.Counter(flapped))
        self.assertEqual({status for at, status in answers if at > since}, {200})

    def test_many_at_once_keep_to_the_places_and_nobody_gets_anothers_answer(self):
        self.start_all()
        wrong = []

        def work(host, first):
            for step in range(12):
                status, _headers, body, attempt = self.generate(host, "a%d" % (first + step % 7))
                if status == 200 and body != self.whole_stream(attempt):
                    wrong.append(attempt)
                if status not in (200, 503):
                    wrong.append((attempt, status))

        threads = [threading.Thread(target=work, args=(self.hosts[n % 2], n * 3)) for n in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(wrong, [])

    def test_orders_move_to_another_host_only_a_lease_after_their_holder_was_killed(self):
        self.start_all()
        holders = {replica.name: replica.orders[-1][1] for replica in self.replicas if replica.orders}
        victim = next(host for host in self.hosts if host.name in holders.values())
        other = next(host for host in self.hosts if host is not victim)
        moved = [replica for replica in self.replicas if holders.get(replica.name) == victim.name]
        killed_at = time.monotonic()
        victim.end(signal.SIGKILL)
        number = [0]

        def served_everywhere():
            number[0] += 1
            self.generate(other, "k%d" % number[0])
            return all(replica.orders[-1][1] == other.name for replica in moved)

        self.assertTrue(wait_until(served_everywhere), "the other host never ordered")
        for replica in moved:
            before = [order for order in replica.orders if order[1] == victim.name][-1]
            after = next(order for order in replica.orders if order[1] == other.name)
            self.assertGreater(after[2], before[2], "the fencing number rises")
            self.assertGreaterEqual(after[0] - before[0], LEASE_MS / 1000, "a lease lies between two holders")
            self.assertGreaterEqual(after[0], killed_at)

    def test_a_store_that_is_down_stops_no_request_and_a_host_that_starts_meanwhile_refuses_with_a_promise(self):
        self.start_all()
        self.store.down = True
        self.assertTrue(wait_until(lambda: any(host.events("store_lost") for host in self.hosts)))
        for host in self.hosts:
            self.assertEqual(self.generate(host, "a1")[0], 200)
            self.assertEqual(self.book(host)[0], 200)
        restarted = self.hosts[0]
        restarted.end(signal.SIGKILL)
        restarted.start()
        self.assertTrue(wait_until(lambda: ask(restarted.operators, "GET", "/readyz")[0] == 503))
        status, headers, _body = self.book(restarted, attempt="early")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertNotIn("early", self.shop.ran)
        self.store.down = False
        self.assertTrue(wait_until(restarted.ready))
        self.assertEqual(self.book(restarted)[0], 200)
        self.assertTrue(wait_until(lambda: any(host.events("store_regained") for host in self.hosts)))  # a log line is read a moment after it was written

    def test_hosts_that_all_start_anew_while_the_upstreams_topic_alone_is_out_serve_from_their_copy(self):
        self.start_all()
        self.assertTrue(wait_until(lambda: any(key == "upstreams" for key, _value in self.store.topics["keyed.control"])), "no copy")
        before = {replica.name: replica.orders[-1][1:3] for replica in self.replicas if replica.orders}
        self.store.topics_down = {"keyed.servers"}
        for host in self.hosts:
            host.end(signal.SIGKILL)
            host.log.clear()
        self.start_all()
        for host in self.hosts:
            self.assertEqual(self.book(host)[0], 200)
            self.assertTrue(host.events("upstreams_from_copy"))
        self.assertTrue(wait_until(lambda: self.generate(self.hosts[0], "new")[0] == 200), "nothing can be ordered")
        after = {replica.name: replica.orders[-1][1:3] for replica in self.replicas if replica.orders}
        self.assertEqual({name: after[name] for name in before}, before, "the same holders with the same fencing numbers")
        self.store.topics_down = set()
        self.assertTrue(wait_until(lambda: all(host.events("store_regained") for host in self.hosts)))
        self.assertEqual(self.book(self.hosts[0])[0], 200)

    def test_a_planned_stop_lets_streams_end_and_leaves_with_zero(self):
        self.start_all()
        for replica in self.replicas:
            replica.event_seconds = 0.25
        results = []
        threads = [threading.Thread(target=lambda: results.append(self.generate(self.hosts[0], "a1")))]
        threads[0].start()
        time.sleep(0.4)
        self.hosts[0].process.send_signal(signal.SIGTERM)
        self.assertTrue(wait_until(lambda: not self.hosts[0].ready(), 1), "not ready at once")
        self.assertEqual(self.book(self.hosts[0])[0], 200, "what still comes is served")
        for thread in threads:
            thread.join()
        self.assertEqual([(status, body == self.whole_stream(attempt)) for status, _headers, body, attempt in results], [(200, True)])
        self.assertEqual(self.hosts[0].process.wait(10), 0)
        until = time.time()
        said = self.hosts[0].events("stopped")[0]["time"]
        stopped = datetime.datetime.fromisoformat(said.replace("Z", "+00:00")).timestamp()
        self.assertLess(until - stopped, 0.5, "the process is gone once it says that it has stopped")

    def stopping_host(self, grace):
        """A host whose grace period is `grace` seconds. It started last, so that others own the replicas."""
        stopping = Host(9, self.store, pathlib.Path(self.folder.name), {"hosting": {"grace_s": grace}})
        self.start_all()
        self.hosts.append(stopping)
        stopping.start()
        self.assertTrue(wait_until(stopping.ready) and wait_until(lambda: self.generate(stopping, "a1")[0] == 200), self.states("not ready"))
        return stopping

    def in_threads(self, work, count):
        """Threads that have started, and the list to which they append their results."""
        results = []
        threads = [threading.Thread(target=lambda number=number: results.append(work(number))) for number in range(count)]
        for thread in threads:
            thread.start()
        return threads, results

    # Guards against requests that a host has read and that wait for an adapter when it gets SIGTERM: it ended without any answer to them (issue 42, LOST).
    def test_requests_that_wait_for_an_adapter_at_a_stop_are_answered_whole_or_refused_as_not_run(self):
        for replica in self.replicas:
            replica.event_seconds = 0.6  # streams of 4.8 s hold every place
        stopping = self.stopping_host(4)
        hogs, _ = self.in_threads(lambda n: self.generate(self.hosts[n % 2], "hog%d" % n), sum(replica.places for replica in self.replicas))
        time.sleep(1.0)
        waiting, answers = self.in_threads(lambda n: self.generate(stopping, "rare%d" % n), 6)
        time.sleep(0.3)
        stopping.process.send_signal(signal.SIGTERM)
        stopping.process.send_signal(signal.SIGTERM)
        self.assertEqual(stopping.process.wait(4), 0)
        for thread in (*waiting, *hogs):
            thread.join()
        ran = {attempt for replica in self.replicas for attempt in replica.ran}
        waited = [(status, headers) for status, headers, _, attempt in answers if attempt not in ran]
        self.assertGreaterEqual(len(waited), 4)
        self.assertEqual([status for status, _ in waited], [503] * len(waited), stopping.events("stopped"))
        self.assertTrue(all(headers["Retry-After"] for _, headers in waited))

    @staticmethod
    def read_to_the_end(connection):
        """What the caller received, and whether its connection ended without a reset."""
        received = b""
        try:
            while piece := connection.recv(65536):
                received += piece
        except OSError:
            return received, False
        finally:
            connection.close()
        return received, True

    # Guards against the end of a stream that is lost, in full flow, as its stopping host closes with the next request unread: the reset overtakes what
    # a link, a relay or a slow caller still holds (issue 46, LOST).
    def test_streams_behind_a_slow_link_are_whole_when_their_host_stops_while_callers_send_their_next_requests(self):
        for replica in self.replicas:
            replica.events, replica.event_seconds, replica.places = 12, 0.03, 40
        stopping = self.stopping_host(6)
        link = Link(stopping.callers)
        self.addCleanup(link.close)
        link.delay = 0.15
        head = "POST /gen/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Model-Id: base/a1\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi"

        def work(number):
            time.sleep(number * 0.03)
            host, port = link.address.split(":")
            connection = socket.create_connection((host, int(port)))
            connection.sendall((head % ("s%d" % number)).encode())
            time.sleep(0.3 + number % 6 * 0.05)  # amid the stream, or as its last events are on their way
            connection.sendall((head % ("next%d" % number)).encode())
            return self.read_to_the_end(connection)

        threads, results = self.in_threads(work, 24)
        time.sleep(0.5)
        stopping.process.send_signal(signal.SIGTERM)
        self.assertEqual(stopping.process.wait(6), 0)
        for thread in threads:
            thread.join()
        begun = sum(received.count(b"HTTP/1.1 200 ") for received, _ in results)
        whole = sum(received.count(b"\r\n0\r\n\r\n") for received, _ in results)
        resets = sum(not is_orderly for received, is_orderly in results if received)  # else its request crossed the close, unread
        self.assertEqual((begun - whole, resets), (0, 0), "%d streams begun, cut, connections reset; %s" % (begun, stopping.events("connection_closed")[-3:]))
        self.assertGreaterEqual(whole, 16)
        ran = sum(len([attempt for attempt in replica.ran if attempt.startswith(("s", "next"))]) for replica in self.replicas)
        self.assertEqual(ran, begun, "what ran was answered")

    # Guards against requests whose last byte comes late in the grace: they were passed on and cut at its end (issue 42, second further report).
    def test_requests_that_come_late_in_a_stop_are_not_passed_on_to_be_cut(self):
        self.shop.work_seconds = 1.8
        stopping = self.stopping_host(2)
        host, port = stopping.callers.split(":")
        connections = [socket.create_connection((host, int(port))) for _ in range(8)]
        time.sleep(0.2)
        stopping.process.send_signal(signal.SIGTERM)
        for number, connection in enumerate(connections):
            time.sleep(0.05)
            head = "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: late%d\r\nX-Deadline-Ms: 2000\r\nContent-Length: 8\r\n\r\nseat"
            connection.sendall((head % number).encode())
        for connection in connections:
            time.sleep(0.05)
            connection.sendall(b" 1 2")
        answers = []
        for connection in connections:
            connection.settimeout(5)
            answers.append(connection.recv(65536))
            connection.close()
        self.assertEqual(stopping.process.wait(2), 0)
        self.assertEqual([answer[:13] for answer in answers], [b"HTTP/1.1 503 "] * len(answers))
        self.assertTrue(all(b"Retry-After: " in answer for answer in answers))
        self.assertEqual([attempt for attempt in self.shop.ran if attempt.startswith("late")], [])

    # Guards against a short or long grace, a reload amid the stop and a stop within the first second that break the promises of a stop (issue 42, LOST).
    def test_a_stop_answers_everything_with_any_grace_and_amid_other_signals(self):
        for grace, uptime in ((1, None), (8, None), (60, None), (4, 0.3)):
            with self.subTest(grace=grace, uptime=uptime):
                host = Host(10 + grace, self.store, pathlib.Path(self.folder.name), {"hosting": {"grace_s": grace}})
                self.hosts.append(host)
                host.start()
                if uptime is None:
                    self.assertTrue(wait_until(host.ready) and wait_until(lambda: self.generate(host, "a1")[0] == 200))
                else:
                    wait_until(lambda: ask(host.operators, "GET", "/healthz")[0] == 200)
                    time.sleep(uptime)
                threads, answers = self.in_threads(lambda n: self.generate(host, "a%d" % n), 4)
                time.sleep(0.02)
                begin = time.monotonic()
                host.process.send_signal(signal.SIGTERM)
                host.process.send_signal(signal.SIGHUP)
                host.process.send_signal(signal.SIGTERM)
                self.assertEqual(host.process.wait(min(grace, 10)), 0)
                self.assertLess(time.monotonic() - begin, grace)
                for thread in threads:
                    thread.join()
                self.assertTrue(all(status in (200, 503) for status, *_ in answers), [status for status, *_ in answers])

    def test_a_new_configuration_is_in_force_everywhere_and_never_goes_back(self):
        self.start_all()
        self.store.put("keyed.op", "config", configuration(9, routes_to="elsewhere"))
        self.assertTrue(wait_until(lambda: all(self.generate(host, "a1")[0] == 503 for host in self.hosts), 3))
        self.store.put("keyed.op", "config", configuration(7))
        time.sleep(1.5)
        self.assertTrue(all(self.generate(host, "a1")[0] == 503 for host in self.hosts))
        self.store.put("keyed.op", "config", b"{not json")
        self.store.put("keyed.op", "config", configuration(12))
        self.assertTrue(wait_until(lambda: all(self.generate(host, "a1")[0] == 200 for host in self.hosts), 3))

    def with_second_service(self, version, **runtime):
        """The usual configuration, a service "second" like the first one, and a route to it. `runtime`: what differs in its runtime."""
        made = configuration(version)
        first = made["services"][0]
        made["services"].append(first | {"name": "second", "runtime": first["runtime"] | runtime})
        made["routes"].append(made["routes"][0] | {"name": "r4", "path_prefix": "/second/", "service": "second"})
        return made

    def is_second_served(self, adapter="a1"):
        return all(self.generate(host, adapter, target="/second/x")[0] == 200 for host in self.hosts)

    APPLY_SECONDS = 2.0  # the platform's config_apply_ms

    def add_second_replica(self):
        self.replicas.append(Replica(self.store, "i-second", "second", "a", model="base"))

    # Guards against an owner that never orders at a replica that was there before its service (issue 42, CONFIG).
    def test_a_replica_that_joins_before_its_service_is_configured_is_served(self):
        self.start_all()
        self.add_second_replica()
        time.sleep(3.0)
        self.store.put("keyed.op", "config", self.with_second_service(4))
        self.assertTrue(wait_until(self.is_second_served, self.APPLY_SECONDS), self.states("the second service isn't served"))

    # The same for a service whose list of models comes later, is empty for a while, and for one that is removed and added again.
    def test_a_replica_whose_service_gets_its_models_later_or_comes_again_is_served(self):
        self.store.put("keyed.op", "config", self.with_second_service(4, models=[]))
        self.add_second_replica()
        self.start_all()
        time.sleep(2.0)
        self.store.put("keyed.op", "config", self.with_second_service(5))
        self.assertTrue(wait_until(self.is_second_served, self.APPLY_SECONDS), self.states("models came later"))
        for version, between in ((6, self.with_second_service(6, models=[])), (8, configuration(8))):
            self.store.put("keyed.op", "config", between)
            time.sleep(1.0)
            self.store.put("keyed.op", "config", self.with_second_service(version + 1))
            self.assertTrue(wait_until(lambda: self.is_second_served("a%d" % version), self.APPLY_SECONDS), self.states("not served again after version %d" % version))

    # The same for a record that changes its service.
    def test_a_replica_whose_record_names_another_service_is_served_there(self):
        self.store.put("keyed.op", "config", self.with_second_service(4))
        self.replicas.append(Replica(self.store, "i-moves", "unknown", "a", model="base"))
        self.start_all()
        time.sleep(2.0)
        self.replicas[-1].service = "second"
        self.replicas[-1].register()
        self.assertTrue(wait_until(self.is_second_served, self.APPLY_SECONDS), self.states("not served"))

    # The same for a host that reads the record of a replica before any configuration.
    def test_a_host_that_reads_records_before_any_configuration_serves_them(self):
        self.store.close()
        self.store = Store()
        for replica in (*self.replicas, self.shop):
            replica.store = self.store
            replica.register()
        self.hosts = [Host(n + 1, self.store, pathlib.Path(self.folder.name)) for n in range(self.HOSTS)]
        for host in self.hosts:
            host.start()
        time.sleep(2.0)
        self.store.put("keyed.op", "config", configuration(3))
        served = lambda: all(self.generate(host, "a1")[0] == 200 for host in self.hosts)  # noqa: E731
        self.assertTrue(wait_until(served, 10), self.states("not served"))

    def use_two_models(self, memory_mb, adapter_mb, held):
        sizes = {"base": (30000, adapter_mb), "other": (30000, adapter_mb)}
        made = configuration(4)
        made["services"][0]["runtime"] |= {"weights_mb": float(memory_mb), "max_adapters": 16}
        of_each = {"load_time_s": 2.0, "adapters": 100, "disk_load_s": 1.0}
        made["services"][0]["runtime"]["models"] = [{"name": name, "weights_mb": float(mb), "adapter_mb": float(of_adapter), **of_each} for name, (mb, of_adapter) in sizes.items()]
        self.store.put("keyed.op", "config", made)
        for replica in self.replicas:
            replica.close()
            self.store.put("keyed.servers", replica.name, None)
        self.replicas = [Replica(self.store, "i-two%d" % n, "llm", "a", model=held, places=16, memory_mb=memory_mb, sizes=sizes) for n in range(2)]
        return made

    # Guards against a twelfth adapter where eleven fit beside two base models: the replicas crashed (issue 42, LIMIT).
    def test_no_more_adapters_are_ordered_than_fit_beside_two_base_models(self):
        made = self.use_two_models(67000, 600, ["base", "other"])
        self.start_all()
        burst, answers = self.in_threads(lambda n: self.generate(self.hosts[n % 2], "%s%d" % ("ab"[n % 2], n), model=("base", "other")[n % 2]), 40)
        for thread in burst:
            thread.join()
        self.assertEqual([violation for replica in self.replicas for violation in replica.violations], [])
        held = [len(replica.held) for replica in self.replicas]
        self.assertGreater(max(held), 8, "the burst fills the replicas")
        made["version"] = 5
        made["services"][0]["runtime"]["weights_mb"] = 69000.0  # three more fit
        for replica in self.replicas:
            replica.memory_mb = 69000
        self.store.put("keyed.op", "config", made)
        time.sleep(self.APPLY_SECONDS)
        burst, answers = self.in_threads(lambda n: self.generate(self.hosts[n % 2], "%s%d" % ("cd"[n % 2], n), model=("base", "other")[n % 2]), 40)
        for thread in burst:
            thread.join()
        self.assertTrue(any(status == 200 for status, *_ in answers))
        self.assertGreater(max(len(replica.held) for replica in self.replicas), 11, "the new configuration is followed")

    # Guards against a second base model beside one whose load was ordered by an owner that was killed 0.3 s later (issue 42, LIMIT).
    def test_a_base_model_that_a_killed_owner_ordered_is_not_followed_by_a_second_one(self):
        self.use_two_models(50000, 12, [])
        for replica in self.replicas:
            replica.model_load_seconds = 4.0
        for host in self.hosts:
            host.start()
        self.assertTrue(wait_until(lambda: any(replica.base_models for replica in self.replicas), 20), self.states("no base model is ordered"))
        time.sleep(0.3)
        ordered = next(replica for replica in self.replicas if replica.base_models)
        owner = next(host for host in self.hosts if host.name == ordered.orders[-1][1])
        other = next(host for host in self.hosts if host is not owner)
        owner.end(signal.SIGKILL)
        for number in range(12):
            self.generate(other, "a%d" % number, model=("other", "base")["other" in ordered.base_models])
            time.sleep(0.5)
        self.assertEqual([len(replica.base_models) <= 1 for replica in self.replicas], [True, True])

    SMALLEST_HOST_MB = 160

    def peak_mb(self, host):
        lines = pathlib.Path("/proc/%d/status" % host.process.pid).read_text().splitlines()
        return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) / 1024

    # Guards against a replica that sends bytes without end, of which a host keeps all until its memory is used up (issue 42, first further report).
    def test_replicas_that_send_bytes_without_end_cost_little_memory_and_others_are_served(self):
        faulty = [EndlessReplica(self.store, "i-endless%d" % n, service, model) for n, (service, model) in enumerate((("llm", "base"), ("shop", None)))]
        self.shops += [Replica(self.store, "i-shop%d" % n, "shop", "a") for n in (2, 3)]
        self.start_all()
        for mode in EndlessReplica.MODES:
            with self.subTest(mode=mode):
                for replica in faulty:
                    replica.mode = mode
                threads, statuses = self.in_threads(lambda n: self.generate(self.hosts[n % 2], "a1")[0] if n // 2 % 2 else self.look(self.hosts[n % 2]), 24)
                for thread in threads:
                    thread.join()
                self.assertGreaterEqual(statuses.count(200), len(statuses) // 2, statuses)
                for host in self.hosts:
                    self.assertIsNone(host.process.poll())
                    self.assertLess(self.peak_mb(host), self.SMALLEST_HOST_MB)
        self.assertGreater(sum(replica.requests for replica in faulty), 0)
        for replica in faulty:
            replica.close()

    # The same for a store whose listings have no end.
    def test_a_store_whose_listings_never_end_costs_little_memory(self):
        self.start_all()
        self.store.endless_listings = True
        late = Host(9, self.store, pathlib.Path(self.folder.name))
        self.hosts.append(late)
        late.start()
        time.sleep(14)  # as long as a listing may take
        self.assertIsNone(late.process.poll())
        self.assertLess(self.peak_mb(late), self.SMALLEST_HOST_MB)
        self.assertEqual(self.generate(self.hosts[0], "a1")[0], 200, "hosts that know the deployment serve on")

    def test_a_leaving_replica_gets_nothing_more_and_bad_records_name_none(self):
        self.start_all()
        self.store.put("keyed.servers", "i-ghost", b"\xff\xfe nothing")
        self.store.put("keyed.servers", "i-odd", {"service": "llm", "state": "resting"})
        self.replicas[0].register("draining")
        time.sleep(2.0)
        before = len(self.replicas[0].ran)
        self.assertTrue(wait_until(lambda: self.generate(self.hosts[0], "a1")[0] == 200))
        for number in range(10):
            self.generate(self.hosts[number % 2], "a%d" % number)
        self.replicas[0].register("ready")  # an old record
        time.sleep(1.5)
        for number in range(10):
            self.generate(self.hosts[number % 2], "a%d" % number)
        self.assertEqual(len(self.replicas[0].ran), before)
        self.assertTrue(wait_until(lambda: any(host.events("record_unreadable") for host in self.hosts), 3))

    def odd_entries(self):
        """Entries that another writer may leave among the replicas: key and value."""
        sound = {"service": "llm", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 8, "state": "ready", "born": 1, "models": []}
        text = json.dumps(sound)
        yield "i-deep", b"[" * 100_000 + b"]" * 100_000
        yield "i-deep-field", text.replace('"models": []', '"models": %s' % ("[" * 100_000 + "]" * 100_000)).encode()
        for number in ("1e400", "-1", "1e300", "18446744073709551616", "9223372036854775808", "3000000000", "1e14", "0.5"):
            yield "i-slots" + number, text.replace('"slots": 8', '"slots": ' + number).encode()
            if number != "3000000000":  # the start of a run long ago
                yield "i-born" + number, text.replace('"born": 1', '"born": ' + number).encode()
        for port in ("0", "65536", "-1", "99999999999"):
            yield "i-port" + port, json.dumps(sound | {"address": "127.0.0.1:" + port})
        yield "i-name", json.dumps(sound | {"address": "localhost:80"})
        for field in ("service", "address", "zone", "version", "state"):
            yield "i-nul-" + field, json.dumps(sound | {field: "a\0b"})
            yield "i-bytes-" + field, text.replace('"%s": "' % field, '"%s": "\\xff\\xfe' % field).encode("latin-1").replace(b"\\xff", b"\xff")
        yield b"i-\xff\xfe", text
        yield "i-line\r\nX-Request-Priority: 0", text
        yield "k" * 64 * 1024, text
        yield "i-twice", "{"
        yield "i-twice", "{"

    # Guards against machines that end, or that stop following the list of the replicas, for one odd entry of another writer (issue 32).
    def test_odd_entries_in_the_list_end_nothing_and_the_rest_stays_followed(self):
        odd = [(key, value if isinstance(value, bytes) else value.encode()) for key, value in self.odd_entries()]
        for key, value in odd[::2]:  # in the first listings
            self.store.put("keyed.servers", key, value)
        self.start_all()
        for key, value in odd:  # in pages
            self.store.put("keyed.servers", key, value)
        shop = Replica(self.store, "i-shop2", "shop", "a")
        self.shops.append(shop)
        self.assertTrue(wait_until(lambda: [self.book(host) for host in self.hosts] and shop.ran, 5), self.states("the list is not followed"))
        self.hosts[0].end(signal.SIGKILL)
        self.hosts[0].start()  # lists them all
        self.assertTrue(wait_until(self.hosts[0].ready), self.states("not ready"))
        self.store.topics_down.add("keyed.servers")
        time.sleep(0.5)
        self.store.topics_down.clear()
        shop.register("draining")
        self.assertTrue(wait_until(lambda: all(host.events("upstream_changed") for host in self.hosts)))
        time.sleep(2.0)
        before = len(shop.ran)
        for host in self.hosts:
            self.assertEqual([self.book(host)[0] for _ in range(10)], [200] * 10)
            self.assertEqual(self.generate(host, "a1")[0], 200)
        self.assertEqual(len(shop.ran), before, "the leave was not seen")
        for host in self.hosts:
            self.assertIsNone(host.process.poll())
            lines = host.events("record_unreadable")
            self.assertTrue(lines)
            self.assertLessEqual(len(lines), 60)
            self.assertLess(max(len(json.dumps(line)) for line in lines), 2_000)
            self.assertEqual([line for name in ("task_ended", "list_not_applied", "tick_failed", "orders_failed") for line in host.events(name)], [])

    # Guards against a refusal that a faulty replica writes once more on a kept connection: "not run" was said of requests that ran (issue 32).
    def test_a_refusal_that_a_replica_writes_twice_is_taken_for_no_other_answer(self):
        self.start_all()
        for names_refused, moment in itertools.product((True, False), ("before the next answer", "while idle")):
            for replica in (*self.replicas, self.shop):
                replica.refused_share, replica.names_refused, replica.repeats_refusals = 0.3, names_refused, moment
            wrong, statuses = [], []

            def work(number):
                host = self.hosts[number % 2]
                for turn in range(25):
                    attempt = "r%d" % next(self.numbers)
                    status = self.book(host, attempt)[0]
                    statuses.append(status)
                    if status in (429, 503) and attempt in self.shop.ran:
                        wrong.append(("ran", attempt))
                    if self.shop.ran.count(attempt) > 1:
                        wrong.append(("twice", attempt))
                    if turn % 5 == 0:
                        for replica in self.replicas:  # the next request for the adapter gets 421
                            replica.held.pop("a1", None)
                        status, _, _, attempt = self.generate(host, "a1")
                        if status in (429, 503) and any(attempt in replica.ran for replica in self.replicas):
                            wrong.append(("ran", attempt))

            threads = [threading.Thread(target=work, args=(number,)) for number in range(4)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(wrong, [], "%s %s" % (names_refused, moment))
            self.assertGreater(statuses.count(200), 20)
        self.assertGreater(sum(replica.repeated for replica in (*self.replicas, self.shop)), 20)

    def test_all_hosts_together_keep_to_the_limits_that_upstreams_name_and_send_freely_after_them(self):
        self.start_all()
        self.replicas[0].limit = limit = 2.5
        self.shop.limit = 4.0
        stop = threading.Event()
        refused, wrong = [], []

        def work(number):
            host = self.hosts[number % 2]
            while not stop.is_set():
                status = self.book(host)[0] if number < 4 else self.generate(host, "a%d" % (number % 4))[0]
                if status == 503:
                    refused.append(number)
                elif status != 200:
                    wrong.append((number, status))
                time.sleep(0.05)

        threads = [threading.Thread(target=work, args=(number,)) for number in range(12)]
        for thread in threads:
            thread.start()
        try:
            time.sleep(2.0)
            begin = time.monotonic()
            time.sleep(6.0)
            for server, bound in ((self.replicas[0], 1.5 * 4 * limit + 5), (self.shop, 1.5 * 4 * self.shop.limit + 5)):
                times = [moment for moment in server.arrivals if moment >= begin]
                most = max((sum(1 for other in times if 0 <= other - moment < 4) for moment in times), default=0)
                self.assertLessEqual(most, bound, server.name)
                self.assertGreater(most, 4 * server.limit * 0.5, "what the upstream takes is sent to it")
            self.assertTrue(refused, "callers of a service whose only upstream is at its limit are refused")
            self.assertTrue(all(host.events("limit_begun") for host in self.hosts))
            self.shop.limit = None
            self.assertTrue(wait_until(lambda: all(host.events("limit_ended") for host in self.hosts), 6), "both hosts hear of the end")
            count = len(self.shop.arrivals)
            time.sleep(1.0)
            self.assertGreater(len(self.shop.arrivals) - count, 4 * 4, "sent freely again")
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        self.assertEqual(wrong, [])

    # Guards against a part of prompts that goes on crashing replicas because each host counts for itself (issue 26, BUDGET).
    def test_all_hosts_together_find_a_part_that_crashes_replicas_and_serve_the_others(self):
        self.start_all()
        for replica in self.replicas:
            replica.crashing_part = "bad"

        def crash(number):
            return self.generate(self.hosts[number % 2], "a1", parts="f1:800,bad:400,own%d:10" % number)

        def sound(number):
            return self.generate(self.hosts[number % 2], "a1", parts="f1:800,m1:400,own%d:10" % number)[0]

        for number in range(6):
            crash(number)
            sound(number)
            time.sleep(1.1)  # a replica that crashed is back after this; what breaks off there sooner counts as one crash
        reached = sum(len(replica.crashed) for replica in self.replicas)
        self.assertGreaterEqual(reached, 3)
        answers = [crash(number) for number in range(6, 14)]
        self.assertEqual(sum(len(replica.crashed) for replica in self.replicas), reached, "requests with the part are not sent any more")
        self.assertEqual({status for status, *_ in answers}, {503})
        self.assertTrue(all(float(headers["Retry-After"]) > 0 for _, headers, *_ in answers))
        self.assertEqual([sound(number) for number in range(6, 14)], [200] * 8)
        self.assertEqual(sum(len(host.events("blamed")) for host in self.hosts), 1, "one host counts for all")
        self.assertTrue(all(host.events("blame_in_force") for host in self.hosts))

    # Guards against a request that goes on crashing replicas at any host because nothing counts tries of one request (issue 29, BUDGET).
    def test_all_hosts_together_find_a_request_that_crashes_replicas_and_serve_the_others(self):
        self.shops += [*(Replica(self.store, "i-shop%d" % number, "shop", "a") for number in range(2, 7))]
        self.start_all()
        for shop in self.shops:
            shop.crashing_body = b"bad"

        def crash(number):
            return ask(self.hosts[number % 2].callers, "POST", "/look/x", {"Host": "h.example", "X-Attempt-Id": "bad%d" % number}, b"bad")

        def crashes():
            return sum(len(shop.crashed) for shop in self.shops)

        self.assertTrue(wait_until(lambda: self.look(self.hosts[0]) == 200 and self.look(self.hosts[1]) == 200))
        for number in range(4):
            crash(number)
            time.sleep(CONTACT_SECONDS)
        self.assertEqual(crashes(), 3, "two upstreams in the first try, one in the next")
        answers = [crash(number) for number in range(4, 12)]
        self.assertEqual(crashes(), 3, "it is not sent any more")
        self.assertEqual({status for status, *_ in answers}, {503})
        self.assertTrue(all(float(headers["Retry-After"]) > 0 for _, headers, *_ in answers))
        self.assertEqual([self.look(self.hosts[number % 2]) for number in range(8)], [200] * 8)
        self.hosts[0].end(signal.SIGKILL)
        self.hosts[0].log.clear()
        self.hosts[0].start()
        self.assertTrue(wait_until(lambda: self.hosts[0].events("blame_in_force"), 5), "a host that starts is told")
        self.hosts[1].end(signal.SIGKILL)
        time.sleep(0.5)
        self.assertEqual([crash(0)[0] for _ in range(4)], [503] * 4, "the host that started last knows it from the other one")
        self.assertEqual(crashes(), 3)
        refused = [line for line in self.hosts[0].events("request") if line["reason"] == "request_blamed"]
        self.assertTrue(all("crashes, the last" in line["detail"] for line in refused))

    def look(self, host):
        return ask(host.callers, "POST", "/look/x", {"Host": "h.example", "X-Attempt-Id": "look%d" % next(self.numbers)}, b"good")[0]

    def begin_stream(self, host, adapter, resumes=None, after=None):
        """A connection on which a stream has begun, its status, its id and the number of its first event."""
        attempt = "s%d" % next(self.numbers)
        headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Model-Id": "base/" + adapter, "X-Deadline-Ms": "6000"}
        headers |= {"Resumes": resumes} if resumes else {}
        headers |= {"Last-Event-Id": str(after)} if after else {}
        connection = http.client.HTTPConnection(host.callers, timeout=8)
        connection.request("POST", "/gen/x", body=b"prompt", headers=headers)
        answer = connection.getresponse()
        line = answer.readline() if answer.status == 200 else b""
        return connection, answer, attempt, int(line[4:]) if line.startswith(b"id: ") else 0

    def version_of(self, attempt):
        return [version for replica in self.replicas for ran, _resumes, version in replica.streams if ran == attempt]

    # Guards against streams that go on at another software version than the one that began them, taken up at hosts that did not see them begin
    # (issue 29, ORDER), and against streams that are refused though their version is served (LOST).
    def test_a_stream_that_is_taken_up_at_any_host_goes_on_at_its_version(self):
        self.replicas += [Replica(self.store, "i-new%d" % n, "llm", "a", model="base", version="v1.1") for n in range(2)]
        self.hosts += [Host(number, self.store, pathlib.Path(self.folder.name)) for number in (3, 4)]
        self.start_all()
        for replica in self.replicas:
            replica.event_seconds = 0.15
        seen = set()
        for number in range(8):
            first, others = self.hosts[number % 4], [host for host in self.hosts if host is not self.hosts[number % 4]]
            connection, answer, attempt, event = self.begin_stream(first, "a%d" % number)
            self.assertEqual((answer.status, event), (200, 1), self.states("no stream"))
            first.end(signal.SIGKILL)
            connection.close()
            (version,) = self.version_of(attempt)
            seen.add(version)
            for host in others[:2]:  # taken up a second and a third time, each time at another host
                connection, answer, again, event = self.begin_stream(host, "a%d" % number, attempt, event)
                self.assertEqual(answer.status, 200, self.states("not taken up"))
                self.assertEqual(self.version_of(again), [version])
                connection.close()
            first.start()
            self.assertTrue(wait_until(first.ready))
            time.sleep(1.0)
            connection, answer, again, event = self.begin_stream(first, "a%d" % number, attempt, event)
            self.assertEqual(answer.status, 200, "at a host that has just started")
            self.assertEqual(self.version_of(again), [version])
            connection.close()
        self.assertEqual(seen, {"v1", "v1.1"})
        for resumes, after in (("never", 3), (None, 3), ("never", None)):
            connection, answer, attempt, _event = self.begin_stream(self.hosts[0], "a1", resumes, after)
            self.assertEqual((answer.status, self.version_of(attempt)), (503, []), (resumes, after))
            self.assertGreater(float(answer.headers["Retry-After"]), 0)
            connection.close()

    def replace_one(self, version):
        """A new replica of the version starts, then one of another version leaves."""
        old = next(replica for replica in self.replicas if replica.version != version and not replica.left)
        self.replicas.append(Replica(self.store, "i-next%d" % next(self.numbers), "llm", "a", model="base", version=version, event_seconds=0.05))
        time.sleep(0.7)
        old.left = True
        old.register("draining")

    # Guards against streams that find no room at their version while it is replaced, rolled back and replaced again (issue 29, LOST).
    def test_as_large_a_share_of_streams_goes_on_during_releases_and_a_roll_back_as_of_new_ones_begins(self):
        self.replicas += [Replica(self.store, "i-more%d" % number, "llm", "a", model="base") for number in range(2)]
        for replica in self.replicas:
            replica.event_seconds = 0.05
        self.start_all()
        stop = threading.Event()
        begun, taken_up = [], []

        def serving(version):
            return sum(1 for replica in self.replicas if replica.version == version and not replica.left)

        def work(number):
            draw = random.Random(number)
            while not stop.is_set():
                first, second = draw.sample(self.hosts, 2)
                adapter = "a%d" % draw.randrange(4)
                connection, answer, attempt, event = self.begin_stream(first, adapter)
                begun.append(answer.status == 200 and event == 1)
                connection.close()
                if not begun[-1]:
                    continue
                (version,) = self.version_of(attempt)
                had_two = serving(version) >= 2
                connection, answer, again, event = self.begin_stream(second, adapter, attempt, 1)
                connection.close()
                if had_two and serving(version) >= 2:
                    taken_up.append(answer.status == 200 and event == 2)
                if self.version_of(again) not in ([], [version]):
                    taken_up.append((attempt, "went on at another version"))

        threads = [threading.Thread(target=work, args=(number,)) for number in range(6)]
        for thread in threads:
            thread.start()
        try:
            for version in ["v1.1"] * 2 + ["v1"] * 2 + ["v1.2"] * 4:
                self.replace_one(version)
                time.sleep(0.5)
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        self.assertEqual([each for each in taken_up if not isinstance(each, bool)], [])
        self.assertGreaterEqual(len(taken_up), 12)
        lost = [line for host in self.hosts for line in host.events("stream_taken_up") if line["reason"] != "served"]
        self.assertGreaterEqual(sum(taken_up) / len(taken_up), sum(begun) / len(begun), (len(taken_up), len(begun), lost))

    # Guards against a stream that is taken for one of the version that an upstream's record names, while the upstream has started again at
    # another one and its new record comes late.
    def test_a_replica_that_is_back_under_its_id_at_another_version_gets_no_stream_until_its_record_is_there(self):
        self.replicas += [Replica(self.store, "i-new", "llm", "a", model="base", version="v1.1")]
        self.start_all()
        for number in range(9):
            self.assertEqual(self.generate(self.hosts[number % 2], "a%d" % number)[0], 200)
        restarted = self.replicas[0]
        restarted.restart("v2")
        for number in range(20):
            self.generate(self.hosts[number % 2], "a%d" % (number % 9))
        self.assertEqual([stream for stream in restarted.streams if stream[2] == "v2"], [], "its record still says v1")
        restarted.register()
        self.assertTrue(wait_until(lambda: all(host.events("upstream_changed")[-1]["change"] == "restarted" for host in self.hosts)))

        def is_used():
            self.generate(self.hosts[0], "b%d" % next(self.numbers))
            return any(stream[2] == "v2" for stream in restarted.streams)

        self.assertTrue(wait_until(is_used), "used again once its record is there")

    def control_keys(self):
        return [key for key, _value in self.store.topics["keyed.control"]]

    def rewind(self, lengths):
        """The store loses what was written last; upstreams write their records again, as their heartbeat does."""
        self.store.rewind(lengths)
        for replica in (*self.replicas, self.shop):
            replica.register()

    def assert_fences_rise(self):
        for replica in self.replicas:
            fences = [order[2] for order in replica.orders]
            self.assertEqual(fences, sorted(fences), "a replica saw a lower fencing number after a higher one")

    def test_a_store_that_comes_back_as_an_earlier_copy_costs_no_request_and_gets_its_records_again(self):
        self.start_all()
        self.store.put("keyed.op", "config", configuration(9))
        in_force = lambda host: [line["version"] for line in host.events("configuration_in_force")]  # noqa: E731
        self.assertTrue(wait_until(lambda: all(9 in in_force(host) for host in self.hosts)))
        self.assertTrue(wait_until(lambda: "upstreams" in self.control_keys()), "no copy of the upstreams")
        keys = self.control_keys()
        claimed = {key for key in keys if key.startswith("engine/")}
        self.rewind({"keyed.control": keys.index("key") + 1, "keyed.op": 1, "keyed.servers": 1})
        wrong = []
        for number in range(40):
            status = self.book(self.hosts[number % 2])[0]
            wrong += [status] if status != 200 else []
            time.sleep(0.05)
        self.assertEqual(wrong, [])
        written = {"host/" + host.name for host in self.hosts} | claimed | {"upstreams", "settled_era"}
        self.assertTrue(wait_until(lambda: written <= set(self.control_keys())), self.control_keys())
        for host in self.hosts:
            self.assertEqual(self.control_keys().count("host/" + host.name), 1, "written again once")
            self.assertTrue(wait_until(lambda: self.generate(host, "new-" + host.name)[0] == 200), self.states("nothing can be ordered"))
            self.assertEqual(in_force(host), sorted(in_force(host)), "the configuration never goes back")
        self.store.put("keyed.op", "config", configuration(9))
        self.store.put("keyed.op", "config", configuration(12))
        self.assertTrue(wait_until(lambda: all(in_force(host)[-1] == 12 for host in self.hosts), 3))
        self.assert_fences_rise()

    def test_a_host_that_starts_in_a_new_era_and_a_lost_key_of_the_links_leave_one_deployment(self):
        self.start_all()
        for era in (2, 3):
            restarted = self.hosts[era % 2]
            restarted.end(signal.SIGKILL)
            self.rewind({"keyed.control": 0})
            restarted.log.clear()
            restarted.start()
            self.assertTrue(wait_until(lambda: all(host.ready() for host in self.hosts)), self.states("not ready"))
            self.assertTrue(wait_until(lambda: {"key", "host/entry-1", "host/entry-2"} <= set(self.control_keys())), self.control_keys())
            for host in self.hosts:
                adapter = "era%d-%s" % (era, host.name)
                self.assertTrue(wait_until(lambda: self.generate(host, adapter)[0] == 200), self.states("nothing can be ordered"))
            wait_until(lambda: "settled_era" in self.control_keys(), 5)
        self.assert_fences_rise()

    def test_an_unread_standard_output_stops_nothing(self):
        for host in self.hosts:
            host.reads_log = False
        self.start_all()
        seconds = float(os.environ.get("UNREAD_SECONDS", "6"))
        until = time.monotonic() + seconds
        served = 0
        while time.monotonic() < until:
            for host in self.hosts:
                begin = time.monotonic()
                self.assertEqual(self.book(host)[0], 200)
                self.assertLess(time.monotonic() - begin, 1)
                served += 1
        self.assertGreater(served, 200)

    def test_settings_that_turn_wrong_keep_what_is_in_force_and_are_told(self):
        self.start_all()
        host = self.hosts[0]
        right = host.settings.read_text()
        host.settings.write_text(right.replace('"retry', '"retri').replace('"grace_s": 6', '"grace_s": "long"'))
        host.process.send_signal(signal.SIGHUP)
        self.assertTrue(wait_until(lambda: host.events("settings_wrong"), 5))
        self.assertIn("hosting.grace_s", host.events("settings_wrong")[0]["reason"])
        host.settings.write_text(right + "\n")  # changes without a signal
        self.assertTrue(wait_until(lambda: host.events("reloaded"), 6))
        self.assertEqual(self.book(host)[0], 200)

    def test_brittle_replicas_do_not_fall_over_under_five_times_their_load_and_a_host_that_is_killed(self):
        """Guards against requests that wait, and are refused, at replicas that fall over when they refuse (issue 32, LIMIT)."""
        self.start_all()
        self.shop.work_seconds = 0.05
        stop = threading.Event()
        served, refused = [], []

        def work(number):
            while not stop.is_set():
                status = self.book(self.hosts[number % 2])[0]
                (served if status == 200 else refused).append(time.monotonic())
                time.sleep(0.01)

        threads = [threading.Thread(target=work, args=(number,)) for number in range(40)]  # eight run at once
        for thread in threads:
            thread.start()
        try:
            self.shop.become_brittle(2)
            self.assertTrue(wait_until(lambda: all(host.events("brittle_begun") for host in self.hosts), 3), "both hosts know")
            time.sleep(CONTACT_SECONDS)
            begin = time.monotonic()
            time.sleep(4.0)
            self.assertEqual(self.shop.falls, [], "%d refusals" % len(self.shop.refusals))
            self.assertGreater(sum(1 for moment in served if moment >= begin), 4 / 0.05 * 8 * 0.4, "what the replica runs is sent to it")
            self.hosts[0].end(signal.SIGKILL)
            self.hosts[0].start()
            self.assertTrue(wait_until(self.hosts[0].ready), self.states("not ready"))
            time.sleep(4.0)
            self.assertLessEqual(len(self.shop.falls), 2, "two and a tenth of the replicas")
            self.shop.brittle = None
            self.assertTrue(wait_until(lambda: all(host.events("brittle_ended") for host in self.hosts), 6), "both hosts hear of the end")
        finally:
            stop.set()
            for thread in threads:
                thread.join()

    def test_metrics_have_a_bounded_number_of_series_whatever_callers_send(self):
        self.start_all()
        host = self.hosts[0]
        for number in range(60):
            ask(host.callers, "GET", "/x%d/" % number, {"Host": "h%d" % number, "X-Attempt-Id": "s%d" % number})
            self.generate(host, "z%d" % number if number % 10 == 0 else "a1")
        series = [line for line in ask(host.operators, "GET", "/metrics")[2].decode().splitlines() if line and not line.startswith("#")]
        for number in range(60, 120):
            ask(host.callers, "GET", "/x%d/" % number, {"Host": "h%d" % number, "X-Attempt-Id": "s%d" % number})
        more = [line for line in ask(host.operators, "GET", "/metrics")[2].decode().splitlines() if line and not line.startswith("#")]
        self.assertLessEqual(len(more), len(series) + 3)


if __name__ == "__main__":
    DAEMON = sys.argv.pop(1)
    if "--beside" in sys.argv:
        at = sys.argv.index("--beside")
        BESIDE = sys.argv[at + 1]
        del sys.argv[at : at + 2]
    if "--half" in sys.argv:
        at = sys.argv.index("--half")
        half = int(sys.argv[at + 1])
        names = without_known_red(["Hosted." + name for name in unittest.defaultTestLoader.getTestCaseNames(Hosted)])
        sys.argv[at : at + 2] = names[half - 1 :: 2]
    unittest.main(verbosity=2, warnings="ignore")
