"""Callers that keep to no limit, against one hosted daemon: whatever they send, or don't read, the process lives, its memory and descriptors stay under
a bound, and an ordinary request is answered afterwards. No times and no shares of served requests are checked.
Usage: hostiletest.py BAOBABSTALLD [Hostile|Hostile.NAME...]"""
import pathlib
import socket
import sys
import threading
import time
import unittest

import hostedtest
from boundstest import Fixture
from hostedtest import Host, wait_until

MEMORY_MB = 120  # of the host, as in its settings; VmHWM stays below it
MAX_DESCRIPTORS = 800  # the same; open descriptors stay below it
CALLERS = 8  # that send without end
SENT_BYTES = 40_000_000  # by each of them at most
SENT_SECONDS = 8.0  # the same
HOLDERS = 60  # callers that send most of a body, or that read no answer
BODY_BYTES = 4_000_000  # within max_body_bytes
WAITING_CONNECTIONS = 1_000
CHUNKED = b"POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %d\r\nX-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n"
PLAIN = b"POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n"
BLOCK = 65_536


class Hostile(Fixture):
    HOSTS = 1

    def setUp(self):
        super().setUp()
        program = pathlib.Path(hostedtest.DAEMON).read_bytes()
        limits = {key: value for key, value in (("memory_mb", MEMORY_MB), ("max_descriptors", MAX_DESCRIPTORS)) if key.encode() in program}
        self.hosts = [Host(1, self.store, pathlib.Path(self.folder.name), {"hosting": {"grace_s": 6} | limits})]
        self.host = self.hosts[0]
        self.start_all()
        self.most_descriptors = 0
        self.is_over = threading.Event()
        self.watcher = threading.Thread(target=self.count_descriptors, daemon=True)
        self.watcher.start()

    def count_descriptors(self):
        while not self.is_over.wait(0.1):
            try:
                count = len(list(pathlib.Path("/proc/%d/fd" % self.host.process.pid).iterdir()))
            except OSError:
                return  # the process has ended
            self.most_descriptors = max(self.most_descriptors, count)

    def connect(self):
        """None: refused."""
        host, port = self.host.callers.split(":")
        connection = socket.socket()
        connection.settimeout(5)
        try:
            connection.connect((host, int(port)))
        except OSError:
            connection.close()
            return None
        self.addCleanup(connection.close)
        return connection

    @staticmethod
    def send_without_end(connection, block, until):
        """Until the limits above, or until the host closes."""
        sent = 0
        try:
            while sent < SENT_BYTES and time.monotonic() < until:
                connection.sendall(block)
                sent += len(block)
        except OSError:
            pass
        return sent

    def crowd(self, count, work):
        """Runs work(number) for each caller, in threads that end by themselves."""
        results = [None] * count

        def run(number):
            results[number] = work(number)

        threads = [threading.Thread(target=run, args=(number,)) for number in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def check_without_end(self, opening, block):
        until = time.monotonic() + SENT_SECONDS

        def work(number):
            connection = self.connect()
            if connection is None:
                return 0
            try:
                connection.sendall(opening(number))
            except OSError:
                return 0
            return self.send_without_end(connection, block, until)

        self.check(self.crowd(CALLERS, work))

    def check(self, noted=None):
        self.is_over.set()
        self.watcher.join()
        lives = self.host.process.poll() is None
        peak = self.peak_mb(self.host) if lives else None
        said = sorted({line.get("why", line["event"]) for line in self.host.events("caller_limit")})
        print("peak in MB: %s, descriptors: %d, noted: %s, limits: %s" % (peak and round(peak), self.most_descriptors, noted, said))
        self.assertTrue(lives, self.states("the process has ended"))
        self.assertLess(peak, MEMORY_MB)
        self.assertLess(self.most_descriptors, MAX_DESCRIPTORS)
        self.assertTrue(wait_until(lambda: self.book(self.host)[0] == 200), self.states("an ordinary request isn't answered"))

    # Each guards against a process that ends because it keeps all that a caller sends (issue 49, "Clients that we don't control").
    def test_trailer_fields_without_end(self):
        self.check_without_end(lambda n: CHUNKED % n + b"1\r\nx\r\n0\r\n", b"X-Trailer: of one field\r\n" * (BLOCK // 25))

    def test_one_trailer_without_end(self):
        self.check_without_end(lambda n: CHUNKED % n + b"1\r\nx\r\n0\r\nX-Trailer: ", b"a" * BLOCK)

    def test_a_chunk_extension_without_end(self):
        self.check_without_end(lambda n: CHUNKED % n + b"1;name=", b"a" * BLOCK)

    def test_extensions_of_chunks_without_end(self):
        self.check_without_end(lambda n: CHUNKED % n, (b"1;name=" + b"a" * 60_000 + b"\r\nx\r\n") * 4)

    def test_digits_of_a_chunk_size_without_end(self):
        self.check_without_end(lambda n: CHUNKED % n, b"0" * BLOCK)

    def test_head_fields_without_end(self):
        self.check_without_end(lambda n: b"POST /book/x HTTP/1.1\r\nHost: h.example\r\n", b"X-Field: of one field\r\n" * (BLOCK // 23))

    def test_one_head_field_without_end(self):
        self.check_without_end(lambda n: b"POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Field: ", b"a" * BLOCK)

    def test_a_target_without_end(self):
        self.check_without_end(lambda n: b"GET /", b"a" * BLOCK)

    def test_pipelined_requests_without_end_whose_answers_nobody_reads(self):
        request = PLAIN % (b"piped", 2_000) + b"s" * 2_000
        self.check_without_end(lambda n: b"", request * 30)

    def check_connections(self, opening, more):
        """Connections that send `opening`, wait, and send `more` now and then."""
        connections = [each for each in (self.connect() for _ in range(WAITING_CONNECTIONS)) if each]
        until = time.monotonic() + SENT_SECONDS / 2
        for connection in connections:
            connection.setblocking(False)
        piece = opening
        while time.monotonic() < until:
            for connection in connections:
                try:
                    connection.send(piece)
                except OSError:
                    pass  # closed by the host
            piece = more
            time.sleep(0.5)
        self.check(len(connections))

    def test_many_connections_that_send_one_byte_and_wait(self):
        self.check_connections(b"P", b"")

    def test_many_bodies_that_are_announced_and_come_byte_by_byte(self):
        self.check_connections(PLAIN % (b"slow", BODY_BYTES), b"x")

    def hold_bodies(self, sent_bytes, framing):
        """Callers that send that much of a body at once, and then a byte now and then."""
        until = time.monotonic() + SENT_SECONDS

        def work(number):
            connection = self.connect()
            if connection is None:
                return 0
            sent = 0
            try:
                connection.sendall(framing(number))
                connection.sendall(b"x" * sent_bytes)
                sent = sent_bytes
                while time.monotonic() < until:
                    connection.sendall(b"x")
                    time.sleep(0.3)
            except OSError:
                pass
            return sent

        self.check(sum(1 for sent in self.crowd(HOLDERS, work) if sent))

    def test_bodies_that_come_nearly_whole_and_then_byte_by_byte(self):
        self.hold_bodies(BODY_BYTES - 1_000, lambda n: PLAIN % (b"hold%d" % n, BODY_BYTES))

    def test_chunked_bodies_that_come_nearly_whole_and_then_byte_by_byte(self):
        self.hold_bodies(BODY_BYTES - 1_000, lambda n: CHUNKED % n + b"%x\r\n" % BODY_BYTES)

    def test_long_answers_that_nobody_reads(self):
        body_bytes = BODY_BYTES // 2  # the service sends it back

        def work(number):
            connection = self.connect()
            if connection is None:
                return False
            try:
                connection.sendall(PLAIN % (b"long%d" % number, body_bytes) + b"s" * body_bytes)
                time.sleep(SENT_SECONDS / 2)
                return connection.recv(1) != b""
            except OSError:
                return False

        self.check(sum(self.crowd(HOLDERS, work)))


if __name__ == "__main__":
    hostedtest.DAEMON = sys.argv.pop(1)
    if sys.argv[1:] == ["Hostile"]:
        sys.argv[1:] = hostedtest.without_known_red(["Hostile." + name for name in unittest.defaultTestLoader.getTestCaseNames(Hostile)])
    unittest.main(verbosity=2, warnings="ignore")
