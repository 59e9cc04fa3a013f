"""Workspaces of the soak: keys that come and are taken away, a small quota, and what must hold of them at the replicas (faultsoak.py)."""
import bisect
import json
import random
import threading
import time

from hostedtest import ask

REVOKE_SECONDS = 2.0
KEY_MARK = "soakkey"  # in every key, and nowhere else
STEADY = {"alpha": 3, "beta": 1, "small": 1}  # workspaces with the numbers of keys that are never taken away
PER_SECOND, BURST = 12, 6  # of the workspace "small"
QUOTA_CALLERS, QUOTA_PAUSE_SECONDS = 4, 0.08  # they send about four times the quota
QUOTA_SHARE, QUOTA_TOLERANCE = 1.1, PER_SECOND + 1  # 0.8 s of credit by design, and the way to the replica
SERVED_SECONDS = 3.0  # after the last fault and what it takes to settle
PLACES_OR_PACES = [{}, {"owner_places": 1}, {"learn_paces": 1}, {"owner_places": 1, "learn_paces": 1}]


def forged_key(draws, key):
    return draws.choice([None, key[:-1], key + "x", key.upper(), KEY_MARK + "-unknown", "alpha"])


class Workspaces:
    def __init__(self, seed):
        self.draws = random.Random("workspaces %d" % seed)
        self.keys = {name: ["%s-%s-%d-%d" % (KEY_MARK, name, seed, n) for n in range(count)] for name, count in STEADY.items()}
        self.passing = []  # (name, key) in use that will be taken away
        self.added = 0
        self.taken = {}  # key -> when the configuration without it had been stored
        self.lock = threading.Lock()
        self.sent = {}  # attempt -> (workspace or None, key, time)
        self.arrived = []  # at replicas: (attempt, time, names of workspaces in its head)
        self.seen = []  # what was wrong when it was seen
        self.settings = {"grace_s": 6, "revocation_ms": int(REVOKE_SECONDS * 1000), "configuration_ms": 1200} | self.draws.choice(PLACES_OR_PACES)

    def tenants(self):
        with self.lock:
            passing = list(self.passing)
        made = [{"name": name, "api_keys": [*keys, *(key for owner, key in passing if owner == name)]} for name, keys in self.keys.items()]
        for number, each in enumerate(made):
            each["priority"] = number
        made[2] |= {"limit_per_s": PER_SECOND, "burst": BURST}
        return made

    def change_keys(self):
        """For the configuration that comes next: a key comes, and now and then one goes. Returns those that go, for note_taken()."""
        with self.lock:
            self.added += 1
            gone = self.passing[: self.draws.randint(0, len(self.passing))]
            self.passing = self.passing[len(gone) :]
            name = self.draws.choice(["alpha", "beta"])
            self.passing.append((name, "%s-%s-passing-%d" % (KEY_MARK, name, self.added)))
            return [key for _name, key in gone]

    def note_taken(self, keys):
        """Once the store has the configuration without them."""
        with self.lock:
            self.taken |= dict.fromkeys(keys, time.monotonic())

    def fields_for(self, attempt, draws, resumes=None):
        """Head fields of an ordinary request, by a key that is never taken away; a stream goes on by one of the same workspace."""
        name = self.sent[resumes][0] if resumes in self.sent else draws.choice(["alpha", "beta"])
        return self.remember(attempt, name, draws.choice(self.keys[name]), draws)

    def remember(self, attempt, name, key, draws):
        self.sent[attempt] = (name, key, time.monotonic())
        fields = {"Authorization": draws.choice(["Bearer ", "bearer ", "BEARER  "]) + key} if key else {}
        return fields | ({"X-Tenant-Id": "gamma"} if draws.random() < 0.2 else {})

    def on_run(self, replica, request):
        """A request has come to a replica, which runs or refuses it."""
        attempt = request.headers.get("X-Attempt-Id")
        names = [value for field, value in request.headers.items() if field.lower() == "x-tenant-id"]
        self.arrived.append((attempt, time.monotonic(), names))
        if any(KEY_MARK in field or KEY_MARK in value.lower() for field, value in request.headers.items()) or KEY_MARK in request.path:
            self.seen.append("%s saw a key in %s" % (replica.name, attempt))

    # ---- Callers beside the ordinary ones ----

    def callers(self, world):
        works = [*[self.use_passing_keys] * 3, self.use_unknown_keys, *[self.use_quota] * QUOTA_CALLERS]
        return [threading.Thread(target=work, args=(world, number), daemon=True) for number, work in enumerate(works)]

    def call(self, world, attempt, name, key, draws):
        host = draws.choice(world.hosts)
        headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500"} | self.remember(attempt, name, key, draws)
        begin = time.monotonic()
        status, answer, body = ask(host.front.address, "POST", "/book/x", headers, attempt.encode(), 6)
        if status == 200 and (answer.get("X-Response-Seal") != "seal-of-" + attempt or json.loads(body).get("echo") != attempt):
            self.seen.append("%s got the answer %s" % (attempt, body[:80]))
        return {"id": attempt, "host": host.name, "stream": False, "begin": begin, "end": time.monotonic(), "status": status, "after": answer.get("Retry-After")}

    def use_passing_keys(self, world, number):
        """Also those that were taken away."""
        draws = random.Random("passing %d %d" % (world.seed, number))
        count = 0
        while not world.is_over:
            with self.lock:
                keys = [*self.passing, *(("alpha" if "-alpha-" in key else "beta", key) for key in self.taken)]
            if keys:
                count += 1
                name, key = draws.choice(keys[:6] + keys[-6:])
                world.keyed.append(self.call(world, "k%d-%d" % (number, count), name, key, draws))
            time.sleep(0.03)

    def use_unknown_keys(self, world, number):
        draws = random.Random("unknown %d" % world.seed)
        count = 0
        while not world.is_over:
            count += 1
            world.keyed.append(self.call(world, "u%d-%d" % (number, count), None, forged_key(draws, draws.choice(self.keys["alpha"])), draws))
            time.sleep(0.1)

    def use_quota(self, world, number):
        draws = random.Random("quota %d %d" % (world.seed, number))
        count = 0
        while not world.is_over:
            count += 1
            world.keyed.append(self.call(world, "s%d-%d" % (number, count), "small", self.keys["small"][0], draws))
            time.sleep(QUOTA_PAUSE_SECONDS)

    # ---- What must hold ----

    def faults(self, keyed, ran, started, over_at):
        """`keyed`: results of the callers above. `ran`: how often each request did. `over_at`: when the callers ended, long after the last fault."""
        found = list(self.seen)
        for attempt, at, names in self.arrived:
            if attempt not in self.sent:
                found.append("%s came to a replica, and no caller sent it" % attempt)
                continue
            name, key, sent = self.sent[attempt]
            taken = self.taken.get(key, float("inf"))
            if name is None:
                found.append("%s came to a replica by an unknown key" % attempt)
            elif names != [name]:
                found.append("%s came to a replica for %s instead of %s" % (attempt, names, name))
            elif sent > taken + REVOKE_SECONDS:
                told = "%s came to a replica at %.2f s by a key taken away at %.2f s, sent at %.2f s"
                found.append(told % (attempt, at - started, taken - started, sent - started))
        for result in keyed:
            name, key, _sent = self.sent[result["id"]]
            if result["status"] == 401 and key in self.keys.get(name, ()):
                found.append("401 to %s by a key in force" % result["id"])
            if result["status"] == 401 and ran.get(result["id"], 0):
                found.append("%s was refused with 401, but it ran" % result["id"])
            if name is None and result["status"] not in (401, 503, 0):
                found.append("%d to %s by an unknown key" % (result["status"], result["id"]))
        times = self.quota_times(ran)
        if not times or times[-1] < over_at - SERVED_SECONDS:
            found.append("the small workspace was served nothing in the last %.0f s" % SERVED_SECONDS)
        return found + self.quota_faults(times)

    def quota_times(self, ran):
        """When requests of the small workspace came to the replicas that ran them."""
        return sorted({attempt: at for attempt, at, _names in self.arrived if ran.get(attempt, 0) and self.sent.get(attempt, [None])[0] == "small"}.values())

    def counts(self):
        """What there was to check."""
        came = [self.sent[attempt] for attempt, _at, _names in self.arrived if attempt in self.sent]
        counts = {"keys taken away": len(self.taken), "requests of the small workspace at replicas": sum(name == "small" for name, _key, _sent in came)}
        return counts | {"requests at replicas by keys that were taken away before or later": sum(key in self.taken for _name, key, _sent in came)}

    @staticmethod
    def quota_faults(times):
        """Of every window that begins and ends with a run, the one that is furthest beyond its bound."""
        worst, told = 0.0, []
        for first, begin in enumerate(times):
            for end in (begin + 0.5, begin + 1, begin + 2, begin + 4, begin + 8, times[-1]):
                count = bisect.bisect_right(times, end) - first
                bound = (PER_SECOND * (end - begin) + BURST) * QUOTA_SHARE + QUOTA_TOLERANCE
                if count - bound > worst:
                    worst, told = count - bound, ["%d requests of the small workspace ran within %.2f s, %.0f allowed" % (count, end - begin, bound)]
        return told


def check_the_checks():
    """Each forged run must be found."""
    made = Workspaces(1)
    steady = made.keys["alpha"][0]
    made.sent = {"a": ("alpha", steady, 5.0), "u": (None, "x", 5.0), "w": ("beta", "k", 5.0), "s": ("small", "q", 9.0)}
    made.taken = {"k": 3.5}
    made.arrived = [("a", 5.1, ["alpha"]), ("w", 5.1, ["beta"]), ("s", 9.1, ["small"])]
    assert not made.faults([], {"s": 1}, 0.0, 10.0), made.faults([], {"s": 1}, 0.0, 10.0)
    assert len(made.faults([], {}, 0.0, 10.0)) == 1, "not served"
    made.taken = {"k": 2.5}
    made.arrived += [("a", 5.1, ["beta"]), ("a", 5.1, ["alpha", "alpha"]), ("u", 5.1, []), ("half", 5.1, ["alpha"])]
    assert len(made.faults([], {"s": 1}, 0.0, 10.0)) == 5, made.faults([], {"s": 1}, 0.0, 10.0)
    answers = [{"id": "a", "status": 401}, {"id": "u", "status": 200}, {"id": "u", "status": 401}, {"id": "w", "status": 401}]
    assert len(made.faults(answers, {"s": 1, "w": 1}, 0.0, 10.0)) == 8, made.faults(answers, {"s": 1, "w": 1}, 0.0, 10.0)
    even = [n / PER_SECOND for n in range(PER_SECOND * 30)]
    assert not Workspaces.quota_faults(even)
    assert Workspaces.quota_faults([at / 2 for at in even]), "twice the quota"
    assert Workspaces.quota_faults(sorted(even + [10.0] * (BURST + 2 * PER_SECOND))), "a burst that is too large"
