"""Callers of the soak that keep to no limit, or read slowly, beside the ordinary ones (faultsoak.py)."""
import json
import random
import socket
import threading
import time

HOSTILE_CALLERS, SLOW_READERS = 3, 3
HOSTILE_SECONDS = 3.0  # on one connection
BLOCK_SECONDS = 0.05  # between two blocks
BLOCK = 16_384
ECHOED_BYTES = 300_000  # of a request whose answer is read slowly
READ_BYTES, READ_SECONDS = 8_192, 0.1

CHUNKED = "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\n%sTransfer-Encoding: chunked\r\n\r\n"
PLAIN = "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\n%sContent-Length: %d\r\n\r\n"
# What comes after a chunked head, and again and again after that. None of these requests is ever whole.
WITHOUT_END = {
    "trailer fields": (b"1\r\nx\r\n0\r\n", b"X-Trailer: of one field\r\n" * (BLOCK // 25)),
    "one trailer": (b"1\r\nx\r\n0\r\nX-Trailer: ", b"a" * BLOCK),
    "a chunk extension": (b"1;name=", b"a" * BLOCK),
    "extensions of chunks": (b"", b"1;name=" + b"a" * 8_000 + b"\r\nx\r\n"),
    "digits": (b"", b"0" * BLOCK),
    "one byte": (b"", b""),
    "a slow body": (b"fffff\r\n", b"x"),
}


def fields_text(fields):
    return "".join("%s: %s\r\n" % field for field in fields.items())


def connect(host):
    address, port = host.callers.split(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.settimeout(5)
    try:
        connection.connect((address, int(port)))
        return connection
    except OSError:
        connection.close()
        return None


class HostileCaller(threading.Thread):
    """Sends requests that never end, under ids that no replica may see."""

    def __init__(self, world, number):
        super().__init__(daemon=True)
        self.world, self.number = world, number
        self.random = random.Random("hostile %d %d" % (world.seed, number))
        self.sent = []

    def run(self):
        while not self.world.are_faults_over:
            attempt = "hostile%d-%d" % (self.number, len(self.sent))
            self.sent.append(attempt)
            connection = connect(self.random.choice(self.world.hosts))
            if connection:
                self.use(connection, attempt, *WITHOUT_END[self.random.choice(sorted(WITHOUT_END))])
            time.sleep(self.random.uniform(0.0, 0.2))

    def use(self, connection, attempt, opening, block):
        until = time.monotonic() + HOSTILE_SECONDS
        head = (CHUNKED % (attempt, fields_text(self.world.fields_for(attempt, self.random)))).encode()
        with connection:
            try:
                connection.sendall(head + opening if block else head[:1])
                while time.monotonic() < until and not self.world.are_faults_over:
                    connection.sendall(block)
                    time.sleep(BLOCK_SECONDS)
            except OSError:
                pass  # closed by the host


class SlowReader(threading.Thread):
    """Reads a long answer slower than it comes."""

    def __init__(self, world, number):
        super().__init__(daemon=True)
        self.world, self.number = world, number
        self.random = random.Random("slow %d %d" % (world.seed, number))
        self.answers = []  # (id, what came until the connection ended)

    def run(self):
        while not self.world.are_faults_over:
            attempt = "slow%d-%d" % (self.number, len(self.answers))
            connection = connect(self.random.choice(self.world.hosts))
            if connection:
                self.answers.append((attempt, self.read(connection, attempt)))
            time.sleep(self.random.uniform(0.0, 0.2))

    def read(self, connection, attempt):
        received = b""
        with connection:
            try:
                connection.sendall((PLAIN % (attempt, fields_text(self.world.fields_for(attempt, self.random)), ECHOED_BYTES)).encode() + b"s" * ECHOED_BYTES)
                while not is_whole(received):
                    piece = connection.recv(READ_BYTES)
                    if not piece:
                        break
                    received += piece
                    time.sleep(READ_SECONDS)
            except OSError:
                pass  # reset
        return received


def parts_of(received):
    """Status, fields and body; None before the head is whole."""
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return None
    fields = {name.lower(): value for name, _, value in (line.partition(b": ") for line in head.split(b"\r\n")[1:])}
    return int(head[9:12]), fields, body


def is_whole(received):
    parts = parts_of(received)
    return parts is not None and len(parts[2]) >= int(parts[1].get(b"content-length", b"0"))


def slow_faults(answers, ran):
    """`answers` of SlowReader; `ran`: how often each request did. An answer may be cut by the faults, but not be another one or look whole."""
    found = []
    for attempt, received in answers:
        parts = parts_of(received)
        if parts is None:
            continue
        status, fields, body = parts
        if status == 200 and fields.get(b"x-response-seal") != b"seal-of-" + attempt.encode():
            found.append("%s got another request's seal" % attempt)
        elif status == 200 and is_whole(received) and json.loads(body).get("echo") != "s" * ECHOED_BYTES:
            found.append("%s got an answer that isn't whole" % attempt)
        elif status in (408, 413, 421, 429, 431, 503) and ran.get(attempt, 0):
            found.append("%s was refused, but it ran" % attempt)
    return found


def check_the_checks():
    """Each forged answer must be found."""
    body = json.dumps({"echo": "s" * ECHOED_BYTES}).encode()
    whole = b"HTTP/1.1 200 OK\r\nX-Response-Seal: seal-of-q\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    for received, ran, count in (
        (whole, 1, 0),
        (whole[:-1], 1, 0),
        (whole.replace(b"seal-of-q", b"seal-of-r"), 1, 1),
        (whole.replace(b"ss", b"tt", 1), 1, 1),
        (b"HTTP/1.1 503 Busy\r\n\r\n", 1, 1),
        (b"HTTP/1.1 503 Busy\r\n\r\n", 0, 0),
    ):
        assert len(slow_faults([("q", received)], {"q": ran})) == count, received[:60]
