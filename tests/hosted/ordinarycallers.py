"""The ordinary callers of the soak, and the one whose request crashes replicas (faultsoak.py)."""
import http.client
import random
import threading
import time

from hostedtest import ask

STREAM_LIMIT, PLAIN_LIMIT = 8.0, 2.0  # seconds; timeout_ms of the two routes
STREAM_DEADLINE, PLAIN_DEADLINE = 6.0, 1.5
FIRST_BYTE_SECONDS = 30  # a caller gives up long after every limit, so that a host that holds a request is seen
CRASHING_BODY = b"crash"


class Caller(threading.Thread):
    """Sends one request after the other on connections that it keeps while they last."""

    def __init__(self, world, number):
        super().__init__(daemon=True)
        self.world, self.number = world, number
        self.random = random.Random(world.seed * 1000 + number)
        self.connections = {}
        self.results = []

    def run(self):
        count = 0
        while not self.world.is_over:
            count += 1
            host = self.random.choice(self.world.hosts)
            result = self.one(host, "c%d-%d" % (self.number, count), self.random.random() < 0.6)
            self.results.append(result)
            if result["stream"] and result["status"] == 200 and not result["whole"]:
                self.take_up(result)
            time.sleep(self.random.random() * 0.05)

    def one(self, host, attempt, is_stream, resumes=None, after=0):
        headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int((STREAM_DEADLINE if is_stream else PLAIN_DEADLINE) * 1000))}
        if is_stream:
            headers["X-Model-Id"] = "base/a%d" % int(self.random.paretovariate(1.2))
            headers |= {"Resumes": resumes, "Last-Event-Id": str(after)} if resumes else {}
        headers |= self.world.fields_for(attempt, self.random, resumes)
        connection = self.connections.pop(host.name, None) or http.client.HTTPConnection(host.front.address, timeout=FIRST_BYTE_SECONDS)
        result = {"id": attempt, "host": host.name, "stream": is_stream, "begin": time.monotonic(), "status": 0, "body": b"", "seal": None, "after": None}
        try:
            connection.request("POST", "/gen/x" if is_stream else "/book/x", body=b"seat 4", headers=headers)
            answer = connection.getresponse()
            result["status"], result["seal"], result["after"] = answer.status, answer.headers.get("X-Response-Seal"), answer.headers.get("Retry-After")
            while is_stream and (part := answer.read1(65536)):
                result["body"] += part
            result["body"] += answer.read()
            result["whole"] = True
            if not answer.will_close:
                self.connections[host.name] = connection
        except (OSError, http.client.HTTPException) as failure:
            result["whole"] = False
            result["why"] = repr(failure)
            connection.close()
        result["end"] = time.monotonic()
        return result


    def take_up(self, first):
        """Goes on with a broken stream, each time at another host, as a caller of the product does."""
        for step in range(2):
            events = [int(line[4:]) for line in first["body"].split(b"\n") if line.startswith(b"id: ")]
            if not events:
                return
            host = self.random.choice([host for host in self.world.hosts if host.name != first["host"]])
            result = self.one(host, "%s-%d" % (first["id"], step), True, first["id"], events[-1])
            self.world.taken_up.append((first["id"], result["id"], result["status"]))
            if result["status"] == 200:
                first["body"] += result["body"]  # what the caller holds of the stream
            if result["whole"]:
                return


class CrashingCaller(threading.Thread):
    """Sends one request again and again, at any host, under new ids."""

    def __init__(self, world):
        super().__init__(daemon=True)
        self.world = world
        self.sent = {}  # id -> host

    def run(self):
        chooser = random.Random(self.world.seed)
        while not self.world.are_faults_over:
            host = chooser.choice(self.world.hosts)
            attempt = "x%d" % len(self.sent)
            self.sent[attempt] = host.name
            headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500"} | self.world.fields_for(attempt, chooser)
            ask(host.front.address, "POST", "/look/x", headers, CRASHING_BODY, PLAIN_LIMIT)
            time.sleep(chooser.uniform(0.05, 0.8))
