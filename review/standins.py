"""Stand-ins for the review's scripts: a small deployment on loopback.

Starts the programs of deploy/system.toml as separate processes, with the
settings that platform/*.toml give on a small deployment, and plays the
platform's list of servers, the operator, clients and servers. Python's standard
library only.
"""

import http.client
import http.server
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CONTROL_PORT = 8224
FRONT_PORT = 8226
READY_PORT = 8227
PEER_PORT = 7740
METRICS_PORT = 9464
LIST_PORT = 8229

# Bounds of a small deployment (settings of a process, `bounds`).
CONFIG_S = 3.0
CONTACT_S = 5.0
CATCH_UP_S = 4.0
ACK_S = 6.0
GRACE_S = 6.0
RECOVER_S = 12.0

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def program():
    """The program that deploy/system.toml starts."""
    for path in ("target/bin/juniperwayd", "build/bin/juniperwayd"):
        full = os.path.join(ROOT, path)
        if os.access(full, os.X_OK):
            return full
    raise CannotRun("juniperwayd is not built (target/bin, build/bin)")


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, *words):
        line = "%8.3f %s" % (time.monotonic() - self._began,
                             " ".join(str(word) for word in words))
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()
        print(line, flush=True)


class Network:
    """A free range of loopback addresses: one address a machine."""

    def __init__(self):
        for _ in range(50):
            self._prefix = "127.%d.%d." % (random.randint(16, 250),
                                           random.randint(1, 250))
            if self._is_free():
                return
        raise CannotRun("no free loopback addresses")

    def address(self, number):
        return self._prefix + str(number)

    def _is_free(self):
        for number in range(1, 10):
            for port in (CONTROL_PORT, PEER_PORT, FRONT_PORT, READY_PORT,
                         METRICS_PORT, LIST_PORT):
                probe = socket.socket()
                try:
                    probe.bind((self.address(number), port))
                except OSError:
                    return False
                finally:
                    probe.close()
        return True


class Machine:
    """A machine of the system with its one process."""

    def __init__(self, deployment, name, ip, zone):
        self.deployment = deployment
        self.record = deployment.record
        self.name = name
        self.ip = ip
        self.zone = zone
        self.folder = os.path.join(deployment.folder, name)
        self.data = os.path.join(self.folder, "data")
        self.settings = os.path.join(self.folder, "juniperwayd.toml")
        self.log = os.path.join(self.folder, "log")
        self.process = None
        self.own_ends = 0
        os.makedirs(self.data)

    def write_settings(self, bootstrap):
        raise NotImplementedError

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        log = open(self.log, "ab")
        self.process = subprocess.Popen(
            [program(), "--settings", self.settings], cwd=ROOT, stdin=
            subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder,
                 "LANG": "C"})
        log.close()
        self.record("platform: start", self.name, "pid", self.process.pid,
                    "bootstrap", str(bootstrap).lower())

    def signal(self, number):
        self.process.send_signal(number)
        self.record("platform:", signal.Signals(number).name, self.name)

    def freeze(self):
        """Stops the process and waits until it stands still."""
        self.signal(signal.SIGSTOP)
        threads = "/proc/%d/task" % self.process.pid
        end = time.monotonic() + 1
        while time.monotonic() < end:
            states = []
            for thread in os.listdir(threads):
                with open("%s/%s/stat" % (threads, thread)) as file:
                    states.append(file.read().rpartition(")")[2].split()[0])
            if all(state == "T" for state in states):
                return
            time.sleep(0.001)
        raise CannotRun(self.name + " does not stop")

    def thaw(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def has_ended(self):
        return self.process.poll() is not None

    def lose_disk(self):
        shutil.rmtree(self.data)
        os.makedirs(self.data)
        self.record("platform:", self.name, "has lost its disk")

    def last_words(self, lines=3):
        with open(self.log, "r", encoding="utf-8", errors="replace") as log:
            text = log.read().replace(self.folder, "")
        return " / ".join(text.splitlines()[-lines:])


class Core(Machine):
    """A control machine: settings as platform/control.toml gives them."""

    def write_settings(self, bootstrap):
        seeds = ", ".join('"%s:%d"' % (ip, CONTROL_PORT)
                          for ip in self.deployment.seeds)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""name = "{self.name}"
cluster = "juniperway"
zone = "{self.zone}"
region = "region-{self.zone}"
roles = ["control"]
data_folder = "{self.data}"
control_seeds = [{seeds}]
control_peer_port = {PEER_PORT}
stop_timeout_s = {GRACE_S}
metrics_listen = "{self.ip}:{METRICS_PORT}"
source_address = "{self.ip}"

[control]
http_listen = "{self.ip}:{CONTROL_PORT}"
peer_listen = "{self.ip}:{PEER_PORT}"
bootstrap = {str(bootstrap).lower()}
tolerated_losses = 1
open_api = true
election_timeout_ms = 500
discovery_url = "http://{self.deployment.list_address}/instances"
discovery_calls_per_second = 59.0
""")

    def number(self):
        """How the group names this machine, if it was there at the start."""
        parts = [int(part) for part in self.ip.split(".")]
        value = 0
        for part in parts:
            value = value * 256 + part
        return (value << 16) + PEER_PORT

    def is_listening(self):
        probe = socket.socket()
        probe.settimeout(0.2)
        try:
            probe.connect((self.ip, CONTROL_PORT))
            return True
        except OSError:
            return False
        finally:
            probe.close()

    def await_listening(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.is_listening():
                return True
            if self.has_ended():
                return False
            time.sleep(0.002)
        return False


class Front(Machine):
    """A router: settings as platform/router.toml gives them."""

    def write_settings(self, bootstrap):
        seeds = ", ".join('"%s:%d"' % (ip, CONTROL_PORT)
                          for ip in self.deployment.seeds)
        zones = "\n".join('%s = "region-%s"' % (zone, zone)
                          for zone in ("a", "b", "c"))
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""name = "{self.name}"
cluster = "juniperway"
zone = "{self.zone}"
region = "region-{self.zone}"
roles = ["router"]
control_seeds = [{seeds}]
control_peer_port = {PEER_PORT}
stop_timeout_s = {GRACE_S}
metrics_listen = "{self.ip}:{METRICS_PORT}"
source_address = "{self.ip}"

[router]
http_listen = "{self.ip}:{FRONT_PORT}"
ready_listen = "{self.ip}:{READY_PORT}"
extra_ratio = 0.2
extra_slack = 58
extra_window_s = 10

[router.zones]
{zones}

[router.headers]
request_id = "Request-Id"
deadline = "Deadline-Ms"
expected_backend = "Expect-Instance"
tenant = "Tenant"
signature = "Response-Stamp"
not_executed = "Not-Executed"
part_signatures = "Part-Stamps"
missing_parts = "Missing-Parts"
""")

    def is_ready(self):
        status, _ = call("GET", self.ip, READY_PORT, "/v1/ready", None, 0.5)
        return status == 200


class Deployment:
    """Three control machines, some routers, and the platform's list."""

    def __init__(self, folder_of_case, fronts=0):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="juniperway-review-")
        self.network = Network()
        self.seeds = [self.network.address(i) for i in (1, 2, 3)]
        self.list_address = "%s:%d" % (self.network.address(9), LIST_PORT)
        self.servers = []
        self.cores = [Core(self, "core-%s-1" % zone, ip, zone)
                      for zone, ip in zip("abc", self.seeds)]
        self.fronts = [
            Front(self, "front-%s-1" % zone, self.network.address(4 + i), zone)
            for i, zone in enumerate("abc"[:fronts])]
        self._list = None

    def start_list(self):
        deployment = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                body = json.dumps(
                    {"backends": [server.entry() for server in
                                  deployment.servers],
                     "next_page": None}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        host, port = self.list_address.split(":")
        self._list = http.server.ThreadingHTTPServer((host, int(port)),
                                                     Handler)
        self._list.daemon_threads = True
        threading.Thread(target=self._list.serve_forever, daemon=True).start()

    def start(self):
        self.start_list()
        for machine in self.cores + self.fronts:
            machine.start(bootstrap=machine in self.cores)

    def close(self):
        """Ends all processes that this deployment started, by their ids."""
        for machine in self.cores + self.fronts:
            if machine.process is None or machine.has_ended():
                continue
            machine.process.send_signal(signal.SIGCONT)
            machine.process.kill()
            machine.process.wait()
        for server in self.servers:
            server.close()
        if self._list is not None:
            self._list.shutdown()
            self._list.server_close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def leader(self, ask):
        """The control machine that leads, as the machine `ask` tells."""
        status, body = call("GET", ask.ip, CONTROL_PORT, "/v1/status", None, 2)
        if status != 200:
            return None
        told = json.loads(body)
        if not told.get("leader_reachable"):
            return None
        return next((core for core in self.cores
                     if core.number() == told["leader"]), None)

    def await_leader(self, ask, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = self.leader(ask)
            if found is not None:
                return found
            time.sleep(0.1)
        raise CannotRun("the control machines found no leader")


def call(method, ip, port, path, body, timeout, headers=None):
    """@return (status, body); (None, reason) without a clear answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as failure:
        return None, repr(failure).encode()
    finally:
        connection.close()


def table(version, service, services, routes=1, **changes):
    """A configuration in the project's words (deploy/wire.toml)."""
    return {
        "version": version,
        "routes": [dict({
            "name": "r-%d" % number, "host": "leno12.example",
            "path_prefix": "/p%d/" % number, "execution": "repeatable",
            "timeout_ms": 4000, "target_ms": 250, "priority": 1,
            "service": service, "maximum_attempts": 2}, **changes)
            for number in range(routes)],
        "services": [{"name": name, "health_path": "/health",
                      "maximum_connections": 40} for name in services],
        "limits": {"maximum_header_bytes": 16384,
                   "maximum_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Operator:
    """Sends configurations and reads them back."""

    def __init__(self, record):
        self.record = record
        # Newest acknowledged version, and when its acknowledgement came.
        self.acknowledged = (0, 0.0)

    def put(self, core, config, timeout=4.0):
        """@return the status; None without a clear answer."""
        version = config["version"]
        self.record("operator: Config.Put version", version, "to", core.name)
        status, body = call("POST", core.ip, CONTROL_PORT, "/v1/route-table",
                            json.dumps(config), timeout,
                            {"Content-Type": "application/json"})
        now = time.monotonic()
        self.record("operator: answer to version", version, "of", core.name,
                    "is", status, body[:160].decode(errors="replace").strip())
        if status == 200 and version > self.acknowledged[0]:
            self.acknowledged = (version, now)
        return status

    def put_until_taken(self, cores, config, seconds=30):
        """Sends the same again, to any machine, until there is an answer."""
        end = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < end:
            if self.put(cores[turn % len(cores)], config) == 200:
                return True
            turn += 1
            time.sleep(0.3)
        return False

    def get(self, core, timeout=1.0):
        """@return the version that is read; None without a configuration."""
        status, body = call("GET", core.ip, CONTROL_PORT, "/v1/route-table",
                            None, timeout)
        version = None
        if status == 200:
            try:
                version = json.loads(body).get("version")
            except (ValueError, AttributeError):
                version = "unreadable: " + body[:120].decode(errors="replace")
        self.record("operator: Config.Get of", core.name, "is", status,
                    "version", version)
        return version


class Server:
    """A server of a service: answers each request, and notes what it ran."""

    def __init__(self, deployment, service, number, port=8281):
        self.record = deployment.record
        self.service = service
        self.id = "i-%08x" % random.getrandbits(32)
        self.address = "%s:%d" % (deployment.network.address(20 + number), port)
        self.work_s = 0.005
        # Of each request that ran: (id, method, target, body).
        self.ran = []
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self):
                server.answer(self)

            do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = answer
            do_PATCH = do_OPTIONS = answer

            def log_message(self, *_):
                pass

        host, port_text = self.address.split(":")
        self._listener = http.server.ThreadingHTTPServer(
            (host, int(port_text)), Handler)
        self._listener.daemon_threads = True
        threading.Thread(target=self._listener.serve_forever,
                         daemon=True).start()

    def entry(self):
        return {"id": self.id, "service": self.service, "zone": "a",
                "address": self.address, "version": "v1", "slots": 5,
                "state": "live", "warmup_left_ms": 0}

    def answer(self, exchange):
        length = int(exchange.headers.get("Content-Length", "0"))
        body = exchange.rfile.read(length)
        request = exchange.headers.get("Request-Id", "")
        expected = exchange.headers.get("Expect-Instance", self.id)
        if expected != self.id:
            self.send(exchange, 421, request, b"", {"Not-Executed": "1"})
            return
        self.ran.append((request, exchange.command, exchange.path, body))
        time.sleep(self.work_s)
        stamp = "%s.%s" % (self.id, request)
        self.send(exchange, 200, request, b"the bytes of " + stamp.encode(),
                  {"Response-Stamp": stamp})

    @staticmethod
    def send(exchange, status, request, body, headers):
        exchange.send_response(status)
        exchange.send_header("Request-Id", request)
        for name, value in headers.items():
            exchange.send_header(name, value)
        exchange.send_header("Content-Length", str(len(body)))
        exchange.end_headers()
        if exchange.command != "HEAD":
            try:
                exchange.wfile.write(body)
            except OSError:
                pass  # the router has given up on the attempt

    def close(self):
        self._listener.shutdown()
        self._listener.server_close()


class Client:
    """Sends requests to the routers, each attempt with an id of its own."""

    def __init__(self, record):
        self.record = record
        self._count = 0

    def ask(self, front, path="/p0/2f", deadline_ms=4000):
        """@return (id, status, body); status None without a whole answer."""
        self._count += 1
        request = "%016x" % (random.getrandbits(48) << 16 | self._count)
        status, body = call("GET", front.ip, FRONT_PORT, path, None,
                            deadline_ms / 1000,
                            {"Host": "leno12.example", "Request-Id": request,
                             "Deadline-Ms": str(deadline_ms)})
        return request, status, body


def run(play, folder_of_case, **options):
    """Plays a case and exits with its result."""
    deployment = None
    # Ends the processes also when the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    result = NOT_RUN
    try:
        deployment = Deployment(folder_of_case, **options)
        deployment.record("TROUBLE", int(trouble()))
        result = play(deployment)
    except CannotRun as reason:
        if deployment is not None:
            deployment.record("could not run:", reason)
        else:
            print("could not run:", reason)
    except Exception:  # a fault of the script says nothing about the rule
        traceback.print_exc()
    finally:
        if deployment is not None:
            deployment.close()
    if deployment is not None:
        deployment.record("result", result,
                          {HELD: "the rule held", BROKEN: "the rule is broken",
                           NOT_RUN: "not run"}[result])
    sys.exit(result)
