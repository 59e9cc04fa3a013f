"""Callers of the soak that use a connection to its end: they send requests before the one before is answered, read slowly, and sit behind a link with
a delay that loses what is on its way when its sender resets the connection. What they see is checked around planned stops."""
import random
import socket
import threading
import time

PROMISES = (b"408", b"421", b"429", b"503")  # not run, and never will be
MOST_REQUESTS = 5  # on a connection
ANSWER_SECONDS = 12  # longer than every limit


class Answer:
    def __init__(self, status, attempt, is_whole):
        self.status, self.attempt, self.is_whole = status, attempt, is_whole


def answers_of(received):
    """The answers on a connection, in order; only the last one may be cut."""
    answers = []
    while received:
        head, separator, rest = received.partition(b"\r\n\r\n")
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
        if not separator:
            return [*answers, Answer(head[9:12], fields.get(b"X-Attempt-Id", b"").decode(), False)]
        if fields.get(b"Transfer-Encoding") == b"chunked":
            is_whole = False
            while rest and not is_whole:
                size, _, more = rest.partition(b"\r\n")
                length = int(size or b"0", 16)
                if len(more) < length + 2:
                    break
                is_whole, rest = length == 0, more[length + 2 :]
        else:
            length = int(fields.get(b"Content-Length", b"0"))
            is_whole, rest = len(rest) >= length, rest[length:]
        answers.append(Answer(head[9:12], fields.get(b"X-Attempt-Id", b"").decode(), is_whole))
        received = rest if is_whole else b""
    return answers


class PipeliningCaller(threading.Thread):
    """Opens one connection after the other; see check_connection()."""

    def __init__(self, world, number):
        super().__init__(daemon=True)
        self.world, self.number = world, number
        self.random = random.Random("pipelining %d %d" % (world.seed, number))
        self.connections = []

    def run(self):
        while not self.world.is_over:
            self.use(self.random.choice(self.world.hosts), "l%d-%d" % (self.number, len(self.connections)))
            time.sleep(self.random.random() * 0.05)

    def use(self, host, name):
        connection = {"host": host.name, "begin": time.monotonic(), "sent": [], "received": b"", "is_orderly": True}
        slow = self.random.random() < 0.3
        caller = socket.socket()
        if slow:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        address, port = host.far_front.address.split(":")
        try:
            caller.connect((address, int(port)))
        except OSError:
            return
        caller.settimeout(ANSWER_SECONDS)
        reader = threading.Thread(target=self.read, args=(caller, connection, slow), daemon=True)
        reader.start()
        for number in range(self.random.randint(2, MOST_REQUESTS)):
            attempt = "%s-%d" % (name, number)
            try:
                caller.sendall(self.request(attempt))
            except OSError:
                break
            connection["sent"].append(attempt)
            time.sleep(self.random.choice([0.0, self.random.uniform(0.0, 0.6)]))
            if not reader.is_alive():
                break
        reader.join()
        caller.close()
        connection["end"] = time.monotonic()
        self.connections.append(connection)

    def request(self, attempt):
        is_stream = self.random.random() < 0.7
        target, more = ("/gen/x", "X-Model-Id: base/a1\r\nX-Deadline-Ms: 6000\r\n") if is_stream else ("/book/x", "X-Deadline-Ms: 1500\r\n")
        more += "".join("%s: %s\r\n" % field for field in self.world.fields_for(attempt, self.random).items())
        return ("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\n%sContent-Length: 6\r\n\r\nseat 4" % (target, attempt, more)).encode()

    def read(self, caller, connection, slow):
        try:
            while True:
                piece = caller.recv(512 if slow else 65536)
                if not piece:
                    return
                connection["received"] += piece
                if sum(answer.is_whole for answer in answers_of(connection["received"])) >= MOST_REQUESTS:
                    return
                time.sleep(0.02 if slow else 0)
        except TimeoutError:
            pass  # nothing more comes
        except OSError:
            connection["is_orderly"] = False


def check_connection(connection, ran, finished, are_replicas_sound):
    """What is wrong with a connection of a host that nothing unplanned disturbed. `ran`: how often each request did; `finished`: those whose
    replica wrote the answer to its end. Where no replica breaks off, each answer that began must be whole, and what ran must be answered."""
    answers = answers_of(connection["received"])
    faults = []
    if not connection["is_orderly"] and (answers or any(ran.get(attempt, 0) for attempt in connection["sent"])):  # else nobody listened
        faults.append("a connection was reset")
    due = {attempt for attempt in connection["sent"] if ran.get(attempt, 0)} if are_replicas_sound else finished
    for answer in answers:
        if not answer.is_whole and (answer.attempt in due or are_replicas_sound):
            faults.append("%s has an answer that its caller has in part" % answer.attempt)
        if answer.status in PROMISES and ran.get(answer.attempt, 0) > 0:
            faults.append("%s was refused, but it ran" % answer.attempt)
    answered = {answer.attempt for answer in answers}
    faults += ["%s ran and got no answer" % attempt for attempt in connection["sent"] if attempt in due and attempt not in answered]
    return faults
