"""What the scripts of this review share: hosts started with the command and the settings template of the deploy file, on loopback, beside the project's
own stand-ins of the store and of replicas (standins/hosting)."""
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "standins" / "hosting"))
import hosting  # noqa: E402

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the small sites (SYSTEM.md, "Bounds").
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "retry_budget_ratio": 0.2, "budget_slack": 56, "lease_ms": 3000}
LIMITS = {"memory_limit_mb": 260, "max_fds": 4100, "bandwidth_mbps": 1000.0}
HEARTBEAT_SECONDS = 1.2  # heartbeat_ms


class CouldNotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def note(self, text, at=None):
        with self.lock:
            self.file.write("%8.3f  %s\n" % ((at or time.monotonic()) - self.begin, text))
            self.file.flush()


def free_port(taken=set()):
    """Below the range that the kernel hands out, so that nobody takes it while its host is down."""
    while True:
        port = random.SystemRandom().randrange(12000, 31000)
        if port in taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        return port


def wait_until(condition, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.02)
    return False


def ask(address, method, target, headers=None, body=b"", timeout=10):
    """Status, headers and body; status 0 when there was no whole answer."""
    import http.client

    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def lookup(values, name):
    for part in name.split("."):
        values = values[int(part)] if isinstance(values, list) else values.get(part)
        if values is None:
            return None
    return values


def render(template, values):
    """The settings template, as far as deploy/settings.json uses the platform's placeholders."""

    def section(match):
        return match.group(2) if lookup(values, match.group(1)) not in (None, False) else ""

    def value(match):
        found = lookup(values, match.group(1))
        return json.dumps(found) if match.group(2) else "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Host:
    """One machine with the role of the deploy file."""

    def __init__(self, number, store_address, folder, record, zone="a", bounds=None):
        self.name, self.record = "edge-%s-%d" % (zone, number), record
        self.callers, self.operators = ("127.0.0.1:%d" % free_port() for _ in range(2))
        peers = free_port()
        self.peers = "127.0.0.1:%d" % peers
        values = {
            "node_name": self.name,
            "zone": zone,
            "region": "local",
            "ip": "127.0.0.1",
            "listeners_map": {"frontend": self.callers, "ready": self.operators},
            "ephemeral_ports": [peers, peers + 15],
            "platform": {"address": store_address},
            "bounds": BOUNDS | (bounds or {}),
            "limits": LIMITS,
        }
        text = render((ROOT / "deploy" / "settings.json").read_text(), values)
        text = text.replace("127.0.0.1:9464", "127.0.0.1:%d" % free_port())  # all hosts share one address here
        self.settings = pathlib.Path(folder) / (self.name + ".json")
        self.settings.write_text(text)
        self.log_path = pathlib.Path(folder) / (self.name + ".log")
        self.process = None
        self.started_at = None
        self.signalled_at = None

    def start(self):
        command = re.search(r'^run = "(.*)"', (ROOT / "deploy" / "system.toml").read_text(), re.M).group(1).split()
        if not (ROOT / command[0]).exists():
            raise CouldNotRun("no %s: run the build of deploy/system.toml" % command[0])
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C.UTF-8", "BAOBABSTALL_CONFIG": str(self.settings)}
        log = open(self.log_path, "ab")
        self.started_at = time.monotonic()
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record.note("%s starts" % self.name)

    def ready(self):
        return ask(self.operators, "GET", "/baobabstall/readyz", timeout=2)[0] == 200

    def send_signal(self, number):
        self.signalled_at = time.monotonic()
        self.record.note("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)


def run_case(folder, play):
    """`play(record, temporary folder, hosts)` returns the breaches of the rule; it appends each host that it makes to `hosts`."""
    record, hosts, code = Record(folder), [], COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                breaches = play(record, pathlib.Path(temporary), hosts)
                for breach in breaches:
                    record.note("BREACH " + breach)
                    print(breach)
                code = BROKEN if breaches else HELD
            finally:
                for host in hosts:
                    host.kill()
                if os.environ.get("KEEP_LOGS"):
                    for host in hosts:
                        (pathlib.Path(os.environ["KEEP_LOGS"]) / host.log_path.name).write_bytes(host.log_path.read_bytes())
    except CouldNotRun as why:
        record.note("could not run: %s" % why)
        print("could not run:", why, file=sys.stderr)
    except Exception:
        record.note("could not run: " + traceback.format_exc())
        traceback.print_exc()
    record.note({BROKEN: "the rule was broken", HELD: "the rule held", COULD_NOT_RUN: "the case could not run"}[code])
    sys.stdout.flush()
    os._exit(code)  # threads of clients may still wait
