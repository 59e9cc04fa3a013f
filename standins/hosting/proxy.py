"""A loopback proxy that harms what passes through it: late, silent, one way only, or reset. Scaffolding for tests/hosted; not shipped."""
import collections
import socket
import struct
import threading
import time

PIECE_BYTES = 65536
STEP_SECONDS = 0.02  # how often a held piece looks whether it may go on


class Proxy:
    """Connections to `address` go to `target`. The modes may change at any time and hold for open connections too."""

    def __init__(self, target):
        self.target = target
        self.delay = 0.0  # seconds, each piece, each way
        self.refusing = False  # new connections are reset
        self.silent = set()  # "there", "back": nothing passes that way, and no end either
        self.silent_ports = set()  # of clients: nothing passes between them and the target
        self.closed = False
        self.pairs = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def heal(self):
        self.delay = 0.0
        self.silent = set()

    def reset_all(self):
        """Resets every open connection, at both ends."""
        with self.lock:
            pairs, self.pairs = self.pairs, set()
        for pair in pairs:
            for end in pair:
                self.reset(end)

    def reset_connections(self, ports):
        """Those of clients at these ports, at both ends."""
        with self.lock:
            pairs = {pair for pair in self.pairs if self.port_of(pair[0]) in ports}
            self.pairs -= pairs
        for pair in pairs:
            for end in pair:
                self.reset(end)

    @staticmethod
    def port_of(end):
        try:
            return end.getpeername()[1]
        except OSError:
            return 0  # closed already

    @staticmethod
    def reset(end):
        try:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            end.shutdown(socket.SHUT_RD)  # wakes the thread that reads it
            end.close()
        except OSError:
            pass  # closed already

    def close(self):
        self.closed = True
        self.listener.close()
        self.reset_all()

    def accept(self):
        while not self.closed:
            try:
                near, _peer = self.listener.accept()
            except OSError:
                return
            if self.refusing:
                self.reset(near)
                continue
            threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near):
        host, port = self.target.rsplit(":", 1)
        while "there" in self.silent and not self.closed:
            time.sleep(STEP_SECONDS)
        try:
            far = socket.create_connection((host, int(port)), timeout=5)
        except OSError:
            self.reset(near)
            return
        far.settimeout(None)
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (near, far)
        with self.lock:
            self.pairs.add(pair)
        threading.Thread(target=self.pump, args=(near, far, "there", pair), daemon=True).start()
        self.pump(far, near, "back", pair)

    def pump(self, source, sink, way, pair):
        port = self.port_of(pair[0])
        try:
            while piece := source.recv(PIECE_BYTES):
                self.hold(way, port)
                sink.sendall(piece)
            self.hold(way, port)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            with self.lock:
                self.pairs.discard(pair)
            for end in pair:
                self.reset(end)

    def hold(self, way, port):
        if self.delay:
            time.sleep(self.delay)
        while (way in self.silent or port in self.silent_ports) and not self.closed:
            time.sleep(STEP_SECONDS)


class Link(Proxy):
    """A link with a delay for each byte, not for each piece. What is on its way is lost when its sender resets the connection."""

    def pump(self, source, sink, way, pair):
        on_the_way = collections.deque()  # (when it arrives, bytes; none: the end)
        threading.Thread(target=self.deliver, args=(on_the_way, sink), daemon=True).start()
        try:
            while piece := source.recv(PIECE_BYTES):
                on_the_way.append((time.monotonic() + self.delay, piece))
            on_the_way.append((time.monotonic() + self.delay, b""))
        except OSError:
            on_the_way.clear()
            with self.lock:
                self.pairs.discard(pair)
            for end in pair:
                self.reset(end)

    def deliver(self, on_the_way, sink):
        try:
            while not self.closed:
                if not on_the_way or on_the_way[0][0] > time.monotonic():
                    time.sleep(STEP_SECONDS / 4)
                    continue
                _, piece = on_the_way.popleft()
                if not piece:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(piece)
        except OSError:
            pass  # closed or reset meanwhile; the other way's thread ends both
