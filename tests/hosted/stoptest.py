"""Planned stops of hosted daemons beside callers that use each way on which a request can still come. Usage: stoptest.py BAOBABSTALLD [Stops.NAME...]
Streams of 12 events begin all through the grace; each must be whole, or refused as not run, or never read."""
import collections
import fcntl
import itertools
import json
import pathlib
import re
import signal
import socket
import subprocess
import sys
import threading
import time
import unittest

import hostedtest
from hostedtest import Blackhole, Host, wait_until
from pipelining import answers_of

EVENTS, EVENT_SECONDS = 12, 0.03
ENDED = b"\r\n0\r\n\r\n"  # of an answer
LISTENS_SECONDS = 2.6  # after SIGTERM
LONGEST_BODY_SECONDS = 4.6  # its stream still ends before its deadline


class Caller:
    """One connection to a host. `way`: how its requests came, for the message of a failed check."""

    def __init__(self, way, host):
        self.way, self.host, self.sent, self.received = way, host, [], b""
        self.end = "open"  # of its connection: "orderly", "reset" or "none" for long
        self.socket = socket.socket()
        self.socket.settimeout(14)  # longer than every limit
        address, port = host.callers.split(":")
        try:
            self.socket.connect((address, int(port)))
        except OSError:
            pass  # nobody listens any more: what is sent fails as well

    def send(self, attempt, more="", parts=(), deadline_ms=6000):
        """A request for a stream; `parts`: the times at which the rest of its body follows."""
        head = "POST /gen/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Model-Id: base/a1\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\nhi"
        self.sent.append(attempt)
        try:
            self.socket.sendall((head % (attempt, deadline_ms, more, 2 + len(parts))).encode())
            for moment in parts:
                sleep_until(moment)
                self.socket.sendall(b"!")
        except ConnectionResetError:
            self.end = "reset"
            return False
        except OSError:
            return False  # it has ended before
        return True

    def read(self, is_enough=lambda received: False):
        """To the end, or until `is_enough`."""
        end = "orderly"
        try:
            while not is_enough(self.received):
                piece = self.socket.recv(65536)
                if not piece:
                    break
                self.received += piece
            else:
                return self
        except TimeoutError:
            end = "none"
        except OSError:
            end = "reset"
        self.end = end if self.end == "open" else self.end
        self.socket.close()
        return self


def sleep_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


class Stops(hostedtest.Hosted):
    def setUp(self):
        super().setUp()
        for replica in self.replicas:
            replica.events, replica.event_seconds, replica.places = EVENTS, EVENT_SECONDS, 40

    def more_hosts(self, count, grace):
        """Hosts that start after the others, which so own the replicas, and that have seen enough runs to know how long one takes."""
        first = len(self.hosts) + 1
        more = [Host(first + n, self.store, pathlib.Path(self.folder.name), {"hosting": {"grace_s": grace}}) for n in range(count)]
        if not self.hosts[0].process:
            self.start_all()
        for host in more:
            self.hosts.append(host)
            host.start()
        for host in more:
            self.assertTrue(wait_until(host.ready) and wait_until(lambda host=host: self.generate(host, "a1")[0] == 200), self.states("not ready"))
            self.assertTrue(all(self.generate(host, "a1")[0] == 200 for _ in range(5)))
        return more

    # The ways, each the work of one thread: it returns its Caller.

    def kept_connection(self, host, name, moment):
        caller = Caller("kept", host)
        caller.send(name + "-before")
        caller.read(lambda received: len([answer for answer in answers_of(received) if answer.is_whole]) == 1)
        sleep_until(moment)
        caller.send(name)
        return caller.read()

    def new_connection(self, host, name, moment, way="new", more="", deadline_ms=6000):
        sleep_until(moment)
        caller = Caller(way, host)
        caller.send(name, more, deadline_ms=deadline_ms)
        return caller.read()

    def body_in_parts(self, host, name, moment, more="", way="parts"):
        sleep_until(moment - LONGEST_BODY_SECONDS)
        caller = Caller(way, host)
        caller.send(name, more, (moment - 0.2, moment))
        return caller.read()

    def taken_up(self, host, name, moment):
        """The stream has begun at the first host, where its caller left it."""
        sleep_until(moment - LONGEST_BODY_SECONDS - 0.3)
        begun = Caller("begun", self.hosts[0])
        begun.send(name + "-begun")
        begun.read(lambda received: b"id: 2\n" in received)
        begun.socket.close()
        return self.body_in_parts(host, name, moment, "Resumes: %s-begun\r\nLast-Event-Id: 2\r\n" % name, "taken up")

    def pipelining(self, host, name):
        """Two requests at a time, from now on until the connection ends."""
        caller = Caller("pipelined", host)
        for number in itertools.count():
            if not caller.send("%s-%d" % (name, number)):
                break
            caller.read(lambda received, number=number: received.count(b"HTTP/1.1 ") >= number)
            if caller.socket.fileno() < 0:
                return caller
        return caller.read()

    def relayed_stream(self, host, number):
        return self.new_connection(host, "for%d-%d" % (host.number, number), 0, "relayed", "Connection: close\r\n", 7900)

    def threads_of(self, *works):
        return self.in_threads(lambda number: works[number](), len(works))

    def callers_through(self, host, begin, seconds, step):
        """Each way that is left open, for streams that begin within `seconds` after `begin`."""
        moments = [begin + step * n for n in range(int(seconds / step))]
        works = [lambda n=n: self.pipelining(host, "pipelined%d-%d" % (host.number, n)) for n in range(4)]
        for n, moment in enumerate(moments):
            ways = (self.kept_connection, self.new_connection) if moment < begin + LISTENS_SECONDS + 0.6 else ()
            for work in (*ways, self.body_in_parts, self.taken_up):
                works.append(lambda work=work, n=n, moment=moment: work(host, "%s%d-%d" % (work.__name__, host.number, n), moment))
        return works

    def check(self, callers):
        """Returns how many requests ended how, by way."""
        time.sleep(0.3)  # the last lines are read
        runs = collections.Counter(attempt for replica in self.replicas for attempt in replica.ran)
        logged = {line.get("request_id") for host in self.hosts for name in ("request", "connection_closed") for line in host.events(name)}
        counts, faults = collections.Counter(), []
        for caller in callers:
            answers = answers_of(caller.received)
            if answers and caller.end != "orderly":
                faults.append((caller.way, "end of the connection: " + caller.end, caller.sent[-1]))
            for answer, attempt in itertools.zip_longest(answers, caller.sent):
                events = caller.received.count(b"data: %s\n" % attempt.encode())
                if answer is None:
                    end = "no answer, ran" if runs[attempt] else "no answer, read" if attempt in logged else "never read"
                elif answer.status == b"200":
                    is_whole = answer.is_whole and events == EVENTS - (2 if caller.way == "taken up" else 0)
                    end = "whole" if is_whole else "cut after %d events" % events
                else:
                    end = "refused" if answer.status == b"503" and not runs[attempt] else "%s, runs: %d" % (answer.status.decode(), runs[attempt])
                counts[caller.way, end] += 1
                if end not in ("whole", "refused", "never read"):
                    faults.append((caller.way, end, attempt))
        print(dict(sorted(counts.items())), dict(collections.Counter(fault[:2] for fault in faults)), file=sys.stderr)
        self.assertEqual(faults, [], "%s; %s" % (dict(counts), [host.events("stopped") for host in self.hosts]))
        return counts

    def check_end(self, host, begin, grace):
        """The process ends by itself within its grace."""
        try:
            self.assertEqual(host.process.wait(max(0.0, begin + grace - time.monotonic())), 0, host.state())
        except subprocess.TimeoutExpired:
            self.fail("%s still runs %.1f s after SIGTERM; %s" % (host.name, time.monotonic() - begin, host.log[-4:]))

    # Guards against streams that begin late in the grace and end with it, on each way that is left open to them (issue 46, LOST).
    def test_streams_that_begin_at_any_time_of_a_stop_are_whole_or_refused_on_each_way(self):
        (host,) = self.more_hosts(1, 8)
        begin = time.monotonic() + 1.5
        works = self.callers_through(host, begin, 7.4, 0.2)
        works += [lambda n=n: self.new_connection(host, "queued%d" % n, begin + 2.5, "queued") for n in range(10)]
        threads, callers = self.threads_of(*works)
        sleep_until(begin)
        host.process.send_signal(signal.SIGTERM)
        sleep_until(begin + 2.45)
        host.process.send_signal(signal.SIGSTOP)  # its listener closes 2.6 s after the SIGTERM, and nobody accepts until then
        sleep_until(begin + 2.7)
        host.process.send_signal(signal.SIGCONT)
        self.check_end(host, begin, 8)
        for thread in threads:
            thread.join()
        counts = self.check(callers)
        for way, least in (("kept", 10), ("new", 10), ("parts", 25), ("taken up", 15), ("pipelined", 40)):
            self.assertGreaterEqual(counts[way, "whole"], least, counts)

    # Guards against streams that a stopping host runs for another one and cuts as it ends, or that end as the host that they were handed to does
    # (issue 46, LOST).
    def test_streams_of_a_host_without_upstreams_are_whole_when_hosts_that_run_them_stop(self):
        first, (host,) = self.hosts[0], self.more_hosts(1, 8)
        blackhole = Blackhole()
        self.addCleanup(blackhole.close)
        first.cut_off((*self.replicas, *self.shops), "reset", blackhole)
        self.assertTrue(wait_until(lambda: first.events("cut_off"), 6), first.state())
        begin = time.monotonic() + 1.5
        threads, callers = self.threads_of(*(lambda n=n: self.new_connection(first, "relayed%d" % n, begin + 0.1 * (n - 12), "relayed", "Connection: close\r\n") for n in range(55)))
        sleep_until(begin)
        host.process.send_signal(signal.SIGTERM)
        self.check_end(host, begin, 8)
        for thread in threads:
            thread.join()
        counts = self.check(callers)
        self.assertGreaterEqual(counts["relayed", "whole"], 40, counts)
        self.assertTrue([line for line in host.events("request") if line["relayed_for"] == first.name], "some ran at the host that stopped")

    # Guards against streams that are cut at a pause of half a second, as the host that runs them for another one has announced its stop and is
    # taken for lost (issue 46, LOST).
    def test_streams_of_two_hosts_that_run_them_for_each_other_are_whole_when_both_stop(self):
        hosts, servers = self.more_hosts(2, 8), (*self.replicas, *self.shops)
        blackhole = Blackhole()
        self.addCleanup(blackhole.close)
        for replica in self.replicas:
            replica.event_seconds = 0.55  # longer than the relaying host may be silent without being looked at
        threads, callers = [], []
        for host, how in zip(hosts, ("reset", "live on")):  # so the second one's runs for the first go on
            host.cut_off(servers, how, blackhole)
            self.assertTrue(wait_until(lambda host=host: host.events("cut_off"), 6), host.state())
            more, ended = self.threads_of(*(lambda host=host, n=n: self.relayed_stream(host, n) for n in range(8)))
            threads += more
            callers.append(ended)
            time.sleep(0.2)
            if host is hosts[0]:
                host.mend(servers)
                self.assertTrue(wait_until(lambda host=host: host.events("reaches_upstreams"), 6), host.state())
        begin = time.monotonic()
        for host in hosts:
            host.process.send_signal(signal.SIGTERM)
        for host in hosts:
            self.check_end(host, begin, 8)
        for thread in threads:
            thread.join()
        self.check([caller for ended in callers for caller in ended])
        for host, other in zip(hosts, reversed(hosts)):
            lines = [line for line in host.events("request") if line["relayed_for"] == other.name]
            self.assertTrue(lines, "%s ran none for %s" % (host.name, other.name))

    # Guards against a stop that is begun, lengthened or shortened by a second SIGTERM or by another grace_s before or amid it (issue 46, LOST).
    def test_a_second_signal_and_another_grace_before_and_amid_a_stop_cut_no_stream(self):
        hosts = self.more_hosts(3, 8)
        lines = [host.settings.read_text() for host in hosts]

        def reload(number, grace):
            hosts[number].settings.write_text(re.sub(r'"grace_s": \d+', '"grace_s": %d' % grace, lines[number]))
            hosts[number].process.send_signal(signal.SIGHUP)

        reload(0, 4)
        self.assertTrue(wait_until(lambda: hosts[0].events("reloaded"), 3), hosts[0].state())
        begin = time.monotonic() + 1.5
        threads, callers = self.threads_of(*(work for host in hosts for work in self.callers_through(host, begin, 8 if host is hosts[2] else 4, 0.4)))
        sleep_until(begin)
        reload(1, 4)  # counts, as it came first
        for host in hosts:
            host.process.send_signal(signal.SIGTERM)
        sleep_until(begin + 0.8)
        for number, grace in enumerate((20, 1, 2)):  # don't count any more
            reload(number, grace)
        sleep_until(begin + 1.2)
        for host in hosts:
            host.process.send_signal(signal.SIGTERM)
        for host, grace in zip(hosts, (4, 4, 8)):
            self.check_end(host, begin, grace)
        for thread in threads:
            thread.join()
        counts = self.check(callers)
        self.assertGreaterEqual(counts["pipelined", "whole"], 60, counts)
        for host, seconds in zip(hosts, (3, 3, 6)):
            self.assertGreaterEqual(host.events("stopped")[0]["took_ms"], seconds * 1000, "streams ran until the grace that counts was used up")

    # Guards against a host that gets little processor time and so ends late, or cuts what it began (issue 46, LOST).
    def test_a_host_at_a_sixth_of_its_speed_stops_in_time_and_cuts_no_stream(self):
        (host,) = self.more_hosts(1, 6)
        has_ended = threading.Event()

        def slow_down():
            while not has_ended.is_set() and host.process.returncode is None:
                host.process.send_signal(signal.SIGSTOP)
                time.sleep(0.025)
                host.process.send_signal(signal.SIGCONT)
                time.sleep(0.005)

        slowing = threading.Thread(target=slow_down, daemon=True)
        slowing.start()
        try:
            begin = time.monotonic() + 2.5
            threads, callers = self.threads_of(*self.callers_through(host, begin, 5.4, 0.3))
            sleep_until(begin)
            host.process.send_signal(signal.SIGTERM)
            self.check_end(host, begin, 6)
        finally:
            has_ended.set()
            slowing.join()
            host.process.send_signal(signal.SIGCONT)
        for thread in threads:
            thread.join()
        counts = self.check(callers)
        self.assertGreaterEqual(counts["pipelined", "whole"], 20, counts)

    # Guards against streams that a stopping host passes on late, by what far shorter ones took, and cuts as it ends (review/6, LOST).
    def test_streams_that_last_longer_than_all_before_them_are_whole_or_refused_late_in_a_stop(self):
        (host,) = self.more_hosts(1, 8)
        begin = time.monotonic() + 4.0
        usage = "X-Token-Usage: 60,500\r\n"

        def answered(count):
            return lambda received: len([answer for answer in answers_of(received) if answer.is_whole]) >= count

        def work(number):
            caller = Caller("kept", host)
            for count in range(1, 9):
                caller.send("short%d-%d" % (number, count), usage, deadline_ms=8000)
                caller.read(answered(count))
            sleep_until(begin - 0.3)
            caller.send("before%d" % number, usage, deadline_ms=8000)
            caller.read(answered(9))  # its head didn't announce the end of the connection
            caller.send("late%d" % number, usage, deadline_ms=8000)
            return caller.read()

        threads, callers = self.in_threads(work, 8)
        for moment, events in ((begin - 0.6, int(3.5 / EVENT_SECONDS)), (begin + 1, int(4.5 / EVENT_SECONDS))):  # of streams that begin afterwards
            sleep_until(moment)
            for replica in self.replicas:
                replica.events = events
            if moment < begin:
                sleep_until(begin)
                host.process.send_signal(signal.SIGTERM)
        self.check_end(host, begin, 8)
        for thread in threads:
            thread.join()
        runs = {attempt for replica in self.replicas for attempt in replica.ran}
        ends = collections.Counter()
        for caller in callers:
            answers = {answer.attempt: answer for answer in answers_of(caller.received)}
            late = answers.get(caller.sent[-1])
            cut = late is not None and late.status == b"200" and not late.is_whole
            ends["cut" if cut else "whole" if late and late.status == b"200" else "refused" if late else "unread", caller.sent[-1] in runs] += 1
        self.assertEqual(sum(ends.values()), 8)
        self.assertTrue(all(caller.sent[-1].startswith("late") for caller in callers), ends)
        self.assertLessEqual(set(ends), {("whole", True), ("refused", False), ("unread", False)}, ends)

    # Guards against the last lines of a host that stops, which were lost when its standard output was read slowly (issue 46).
    def test_the_last_lines_of_a_host_whose_log_is_read_slowly_are_all_there(self):
        host = Host(9, self.store, pathlib.Path(self.folder.name), {"hosting": {"grace_s": 6}})
        host.reads_log = False
        self.start_all()
        self.hosts.append(host)
        host.start()
        pipe, is_behind, text = host.process.stdout, threading.Event(), []
        fcntl.fcntl(pipe.fileno(), fcntl.F_SETPIPE_SZ, 4096)

        def read():
            while piece := pipe.read1(2048):
                text.append(piece)
                while is_behind.is_set():
                    time.sleep(0.005)
                time.sleep(0.002)  # at most a megabyte a second

        reader = threading.Thread(target=read, daemon=True)
        reader.start()
        self.assertTrue(wait_until(host.ready) and wait_until(lambda: self.generate(host, "a1")[0] == 200), self.states("not ready"))
        for replica in self.replicas:
            replica.event_seconds = 0.3  # they end after the listener has closed
        threads, callers = self.threads_of(*(lambda n=n: self.new_connection(host, "last%d" % n, 0) for n in range(24)))
        time.sleep(0.5)
        host.process.send_signal(signal.SIGTERM)
        is_behind.set()
        for thread in threads:
            thread.join()
        time.sleep(0.08)
        is_behind.clear()
        self.assertEqual(host.process.wait(6), 0)
        reader.join(5)
        host.log = [json.loads(line) for line in b"".join(text).splitlines()]
        self.check(callers)
        missing = {"last%d" % n for n in range(24)} - {line["request_id"] for line in host.events("request")}
        self.assertEqual((missing, len(host.events("stopped"))), (set(), 1), [line["event"] for line in host.log[-3:]])


def load_tests(loader, _tests, _pattern):
    """Without those of the fixture, and those that scripts/known-red runs."""
    names = hostedtest.without_known_red(["Stops." + name for name in vars(Stops) if name.startswith(loader.testMethodPrefix)])
    return unittest.TestSuite(Stops(name.removeprefix("Stops.")) for name in names)


if __name__ == "__main__":
    hostedtest.DAEMON = sys.argv.pop(1)
    unittest.main(verbosity=2, warnings="ignore")
