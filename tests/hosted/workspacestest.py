"""Keys of workspaces at hosted daemons: who is admitted, what replicas get, and how long a withdrawn key may still run. Usage: workspacestest.py BAOBABSTALLD [NAME...]"""
import signal
import sys
import threading
import time
import unittest

import hostedtest
from hostedtest import Host, ask, wait_until

from hosting import Replica, configuration

REVOKE_SECONDS = 2.0
KEY, OTHER_KEY, WITHDRAWN = "k1alphaalphaalpha", "k2betabetabetabet", "k3alphaalphaalpha"


def with_workspaces(version, alpha=(KEY, WITHDRAWN), open_route=False):
    made = configuration(version)
    made["tenants"] = [
        {"name": "alpha", "api_keys": list(alpha), "priority": 1},
        {"name": "beta", "api_keys": [OTHER_KEY], "priority": 2},
    ]
    for route in made["routes"]:
        route["anonymous"] = open_route
    return made


class HeadKeepingReplica(Replica):
    def __init__(self, *arguments, **named):
        self.heads = {}  # by attempt
        self.ran_at = {}  # the same
        super().__init__(*arguments, **named)

    def run(self, request):
        self.heads[request.headers.get("X-Attempt-Id")] = list(request.headers.items())
        self.ran_at[request.headers.get("X-Attempt-Id")] = time.monotonic()
        super().run(request)


class Workspaces(hostedtest.Hosted):
    HOSTS = 3

    def setUp(self):
        super().setUp()
        self.shop.close()
        self.shop = HeadKeepingReplica(self.store, "i-shop", "shop", "a")
        self.shops = [self.shop]
        self.store.put("keyed.op", "config", with_workspaces(4))
        settings = {"hosting": {"grace_s": 6, "revocation_ms": int(REVOKE_SECONDS * 1000), "configuration_ms": 1200}}
        self.hosts = [Host(number + 1, self.store, self.hosts[0].settings.parent, settings) for number in range(self.HOSTS)]

    def call(self, host, key=None, fields=(), timeout=3):
        attempt = "c%d" % next(self.numbers)
        headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500"}
        headers |= {"Authorization": "Bearer " + key} if key else {}
        headers |= dict(fields)
        status, _, _ = ask(host.callers, "POST", "/book/x", headers, b"seat 4", timeout)
        return status, attempt

    def start_all(self):
        for host in self.hosts:
            host.start()
        self.assertTrue(wait_until(lambda: all(host.ready() for host in self.hosts)), self.states("not ready"))
        self.assertTrue(wait_until(lambda: all(self.call(host, KEY)[0] == 200 for host in self.hosts)), self.states("no call served"))

    def heard(self, attempt):
        return {name.lower(): value for name, value in self.shop.heads[attempt]}

    def test_replicas_get_the_name_of_the_keys_workspace_and_never_a_key(self):
        self.start_all()
        forged = {"X-Tenant-Id": "beta", "x-tenant-id": "gamma"}
        for host in self.hosts:
            for written in ("Bearer " + KEY, "bearer " + KEY, "BEARER  " + KEY):
                status, attempt = self.call(host, fields={"authorization": written, **forged})
                self.assertEqual(status, 200, written)
                names = [value for name, value in self.shop.heads[attempt] if name.lower() == "x-tenant-id"]
                self.assertEqual(names, ["alpha"])
                self.assertFalse(any(KEY in value for _, value in self.shop.heads[attempt]))
            for key in (None, KEY[:-1], KEY + "x", KEY.upper(), "unknown", "alpha"):
                self.assertEqual(self.call(host, key, fields=forged)[0], 401, key)
        self.store.put("keyed.op", "config", with_workspaces(5, open_route=True))
        self.assertTrue(wait_until(lambda: all(self.call(host)[0] == 200 for host in self.hosts), 5))
        status, attempt = self.call(self.hosts[0], fields=forged)
        self.assertEqual((status, self.heard(attempt).get("x-tenant-id")), (200, None))
        for host in self.hosts:
            host.end(signal.SIGTERM, 15)
            for line in host.log:
                self.assertFalse(any(KEY in str(value) or OTHER_KEY in str(value) for value in line.values()), line)

    def callers_of(self, key, stop, results):
        """Uses the key at each host until told to stop."""

        def work(host):
            while not stop.is_set():
                sent = time.monotonic()
                status, attempt = self.call(host, key)
                results.append((sent, status, attempt))
                time.sleep(0.02)

        threads = [threading.Thread(target=work, args=(host,)) for host in self.hosts]
        for thread in threads:
            thread.start()
        return threads

    def withdraw(self, before=lambda: None, during=lambda: None):
        """Takes a key away while it is in use at each host. Returns when it was taken, and what became of the calls."""
        stop, results = threading.Event(), []
        threads = self.callers_of(WITHDRAWN, stop, results)
        time.sleep(0.3)
        before()
        self.store.put("keyed.op", "config", with_workspaces(6, alpha=[KEY]))
        taken = time.monotonic()
        during()
        time.sleep(max(0.0, taken + REVOKE_SECONDS + 1.0 - time.monotonic()))
        stop.set()
        for thread in threads:
            thread.join()
        late = [(sent - taken, status, attempt) for sent, status, attempt in results if sent - taken > REVOKE_SECONDS and attempt in self.shop.ran_at]
        self.assertEqual(late, [], "ran by a withdrawn key")
        self.assertTrue([each for each in results if each[1] == 200], "the key was in use before")
        return taken, results

    def test_a_withdrawn_key_opens_nothing_at_any_host_after_the_bound(self):
        self.start_all()
        self.withdraw()
        self.assertTrue(all(self.call(host, KEY)[0] == 200 for host in self.hosts))
        self.assertTrue(all(self.call(host, WITHDRAWN)[0] == 401 for host in self.hosts))

    # The store answers nobody, so no host can learn that the key was taken away.
    def test_hosts_that_hear_no_store_stop_running_keyed_requests_and_take_them_up_with_the_first_answer(self):
        self.start_all()
        self.withdraw(before=lambda: setattr(self.store, "down", True))
        self.assertEqual([self.call(host, KEY)[0] for host in self.hosts], [503] * self.HOSTS)
        self.store.down = False
        self.assertTrue(wait_until(lambda: all(self.call(host, KEY)[0] == 200 for host in self.hosts), 10))
        self.assertTrue(all(self.call(host, WITHDRAWN)[0] == 401 for host in self.hosts))

    # A host that stood still while the key was taken away has its proof from before.
    def test_a_host_that_was_frozen_meanwhile_runs_nothing_by_the_withdrawn_key(self):
        self.start_all()
        frozen = self.hosts[1].process

        def thaw():
            time.sleep(REVOKE_SECONDS + 0.5)
            frozen.send_signal(signal.SIGCONT)

        self.withdraw(before=lambda: frozen.send_signal(signal.SIGSTOP), during=thaw)
        self.assertTrue(wait_until(lambda: self.call(self.hosts[1], KEY)[0] == 200, 10))

    def test_a_host_that_starts_while_the_store_is_down_runs_no_keyed_request(self):
        self.start_all()
        self.hosts[0].end(signal.SIGKILL)
        self.store.down = True
        self.hosts[0].start()
        self.assertTrue(wait_until(lambda: self.call(self.hosts[0], KEY)[0] != 0, 10))
        for _ in range(20):
            self.assertEqual(self.call(self.hosts[0], KEY)[0], 503)
            time.sleep(0.05)
        self.store.down = False
        self.assertTrue(wait_until(lambda: self.call(self.hosts[0], KEY)[0] == 200, 10))

    # An earlier copy of the store has the key that was taken away.
    def test_a_store_that_comes_back_as_an_earlier_copy_gives_no_key_back(self):
        self.start_all()
        self.store.put("keyed.op", "config", with_workspaces(6, alpha=[KEY]))
        self.assertTrue(wait_until(lambda: all(self.call(host, WITHDRAWN)[0] == 401 for host in self.hosts), 5))
        self.store.rewind({"keyed.op": 2})
        until = time.monotonic() + REVOKE_SECONDS + 1.5
        while time.monotonic() < until:
            for host in self.hosts:
                self.assertNotEqual(self.call(host, WITHDRAWN)[0], 200)
        self.store.put("keyed.op", "config", with_workspaces(8, alpha=[KEY]))
        self.assertTrue(wait_until(lambda: all(self.call(host, KEY)[0] == 200 for host in self.hosts), 10))

    # Guards against quotas without an owner: each host then spends its own share only.
    def test_callers_at_one_host_get_the_quota_of_all_hosts_and_no_more(self):
        per_second, seconds = 30, 5.0
        made = with_workspaces(5)
        made["tenants"][0] |= {"limit_per_s": per_second, "burst": per_second}
        self.store.put("keyed.op", "config", made)
        self.start_all()
        time.sleep(6.0)  # the partitions of the workspaces are claimed, and a lease passes
        answers, stop, lock = [], threading.Event(), threading.Lock()

        def work():
            while not stop.is_set():
                status, attempt = self.call(self.hosts[0], KEY)
                with lock:
                    answers.append((status, attempt))
                time.sleep(0.02)

        threads = [threading.Thread(target=work) for _ in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        stop.set()
        for thread in threads:
            thread.join()
        ran = sum(attempt in self.shop.ran_at for _, attempt in answers)
        self.assertGreaterEqual(ran, 0.85 * per_second * seconds)
        self.assertLessEqual(ran, per_second * (seconds + 0.5) + per_second + 0.8 * per_second + 1)
        self.assertEqual({status for status, attempt in answers if attempt not in self.shop.ran_at}, {429})
        self.assertEqual(self.call(self.hosts[1], OTHER_KEY)[0], 200, "a workspace without a quota")

    def test_a_key_that_is_taken_away_and_given_back_at_once_stays_in_use(self):
        self.start_all()
        self.store.put("keyed.op", "config", with_workspaces(6, alpha=[KEY]))
        self.store.put("keyed.op", "config", with_workspaces(7))
        time.sleep(REVOKE_SECONDS)
        self.assertEqual([self.call(host, WITHDRAWN)[0] for host in self.hosts], [200] * self.HOSTS)


if __name__ == "__main__":
    hostedtest.DAEMON = sys.argv.pop(1)
    if len(sys.argv) == 1:  # those of the base class run in hostedtest.py
        sys.argv += ["Workspaces." + name for name in vars(Workspaces) if name.startswith("test_")]
    unittest.main(verbosity=2, warnings="ignore")
