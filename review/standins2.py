"""Stand-ins of the users' platform, servers, clients and operator, and a rig
that starts juniperwayd with them: 3 control machines and 3 routers in 3 zones,
each on a loopback address of its own, with the settings that platform/ gives
them on lincore-search. Standard library only.

The stand-ins do what PROTOCOL.md says, in the names of deploy/wire.toml.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "bin", "juniperwayd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of lincore-search.
DRAIN_S = 3.0
GRACE_S = 6.0
RECOVER_S = 12.0

# A connection that ends, or a stand-in that is stopped.
CLOSED = (asyncio.IncompleteReadError, asyncio.CancelledError, OSError)


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines[1:]):
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Server:
    """A back end. Every start is a new incarnation with a new id."""

    def __init__(self, rig, service, ip, zone, work_s, slots):
        self.rig, self.service, self.ip, self.zone = rig, service, ip, zone
        self.work_s, self.slots = work_s, slots
        self.listener, self.port, self.id = None, 0, None
        self.connections = set()
        self.state = "live"

    async def start(self):
        self.id = "i-%010x" % random.getrandbits(40)
        self.state = "live"
        self.listener = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.rig.listed[self.id] = self
        self.rig.note("server_starts", server=self.id, service=self.service)
        return self

    def stop(self, unlisted_after_s):
        """The process ends: its connections are reset and its port is dead.
        The list shows it for some seconds more."""
        self.rig.note("server_ends", server=self.id)
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()
        asyncio.get_running_loop().call_later(
            unlisted_after_s, self.rig.listed.pop, self.id, None)

    def entry(self):
        return {"id": self.id, "service": self.service,
                "address": "%s:%d" % (self.ip, self.port), "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "warmup_left_ms": 0}

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        own_id = self.id
        try:
            while True:
                line, headers, _ = await read_message(reader)
                request = headers.get("request-id", "")
                if headers.get("expect-instance", own_id) != own_id:
                    status, extra, body = 421, "Not-Executed: 1\r\n", b""
                else:
                    self.rig.on_run(request, own_id)
                    await asyncio.sleep(self.work_s)
                    status = 200
                    extra = "Response-Stamp: %s.%s\r\n" % (own_id, request)
                    body = ("answer to %s" % request).encode()
                writer.write(("HTTP/1.1 %d -\r\n%sRequest-Id: %s\r\n"
                              "Content-Length: %d\r\n\r\n" %
                              (status, extra, request, len(body))).encode() + body)
                await writer.drain()
        except CLOSED:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Rig:
    """The processes, the platform, and what was sent, answered and run."""

    def __init__(self, router_zones=("z-a", "z-b", "z-c")):
        self.zones = ["z-a", "z-b", "z-c"]
        self.router_zones = list(router_zones)
        controls, routers = len(self.zones), len(self.router_zones)
        net = random.randrange(10, 240)
        self.control_ips = ["127.%d.1.%d" % (net, i + 1) for i in range(controls)]
        self.router_ips = ["127.%d.2.%d" % (net, i + 1) for i in range(routers)]
        self.server_net = "127.%d.3." % net
        addresses = self.control_ips + self.router_ips
        (self.control_port, self.peer_port, self.front_port, self.ready_port,
         self.metrics_port) = free_ports(5, addresses)
        self.folder = tempfile.mkdtemp(prefix="juniperway-review-")
        self.started = time.monotonic()
        self.listed = {}
        # Bytes of a further entry of the list, of another writer.
        self.foreign_entry = None
        self.runs = {}
        self.record = []
        self.processes = {}

    # --- Record ---------------------------------------------------------------

    def now(self):
        return time.monotonic() - self.started

    def note(self, what, **fields):
        self.record.append((self.now(), what, fields))

    def on_run(self, request, server):
        self.runs.setdefault(request, []).append((self.now(), server))
        self.note("run", request=request, server=server)

    def write_record(self, path):
        with open(path, "w", encoding="utf-8") as file:
            for at, what, fields in self.record:
                text = " ".join("%s=%s" % item for item in fields.items())
                file.write("%9.4f %s %s\n" % (at, what, text))

    # --- Platform -------------------------------------------------------------

    async def start_platform(self):
        self.platform = await asyncio.start_server(self._list, "127.0.0.1", 0)
        self.platform_port = self.platform.sockets[0].getsockname()[1]

    async def _list(self, reader, writer):
        try:
            await read_message(reader)
            entries = [json.dumps(s.entry()).encode() for s in self.listed.values()]
            if self.foreign_entry is not None:
                entries.insert(1, self.foreign_entry)
            body = b'{"backends":[' + b",".join(entries) + b'],"next_page":null}'
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Connection: close\r\nContent-Length: %d\r\n\r\n" %
                         len(body) + body)
            await writer.drain()
        except CLOSED:
            pass
        finally:
            writer.close()

    # --- Processes ------------------------------------------------------------

    def _settings(self, name, bootstrap):
        role, number = name.split("-")
        index = int(number) - 1
        core = role == "core"
        ip = (self.control_ips if core else self.router_ips)[index]
        zone = (self.zones if core else self.router_zones)[index]
        seeds = json.dumps(["%s:%d" % (seed, self.control_port)
                            for seed in self.control_ips[:3]])
        common = f'''name = "{name}"
cluster = "juniperway"
zone = "{zone}"
region = "r-{zone}"
control_seeds = {seeds}
control_peer_port = {self.peer_port}
stop_timeout_s = {GRACE_S:g}
metrics_listen = "{ip}:{self.metrics_port}"
source_address = "{ip}"
'''
        if core:
            return common + f'''roles = ["control"]
data_folder = "{self.folder}/{name}"

[control]
http_listen = "{ip}:{self.control_port}"
peer_listen = "{ip}:{self.peer_port}"
bootstrap = {"true" if bootstrap else "false"}
tolerated_losses = 1
open_api = true
election_timeout_ms = 500
discovery_url = "http://127.0.0.1:{self.platform_port}/instances"
discovery_calls_per_second = 59.0
'''
        zones = "".join('%s = "r-%s"\n' % (z, z) for z in self.zones)
        return common + f'''roles = ["router"]

[router]
http_listen = "{ip}:{self.front_port}"
ready_listen = "{ip}:{self.ready_port}"
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
'''

    def start(self, name, bootstrap=False):
        settings = os.path.join(self.folder, name + ".toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(self._settings(name, bootstrap))
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                [DAEMON, "--settings", settings], cwd=self.folder,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.note("process_starts", name=name)

    def names(self):
        return (["core-%d" % (i + 1) for i in range(len(self.control_ips))] +
                ["front-%d" % (i + 1) for i in range(len(self.router_ips))])

    async def up(self, config):
        """Starts everything but the servers; stores the configuration."""
        await self.start_platform()
        for name in self.names():
            self.start(name, bootstrap=name.startswith("core"))
        if await self.put(config) != 200:
            raise CannotRun("the configuration was not acknowledged")
        await self.until_ready(20)

    async def until_ready(self, timeout_s):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            answers = [await self.call(ip, self.ready_port, "GET", "/v1/ready")
                       for ip in self.router_ips]
            if all(answer and answer[0] == 200 for answer in answers):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the routers did not become ready")

    def signal(self, name, number):
        self.note("signal", name=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def down(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    # --- Clients and operator -------------------------------------------------

    async def call(self, ip, port, method, path, body=b"", headers=None,
                   timeout_s=1.0):
        """One call on a new connection. Returns status, headers and body, or
        None if no whole answer came."""
        async def exchange():
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                fields = {"Host": ip, **(headers or {})}
                if method != "GET":
                    fields["Content-Length"] = str(len(body))
                head = "%s %s HTTP/1.1\r\n" % (method, path) + "".join(
                    "%s: %s\r\n" % field for field in fields.items())
                writer.write(head.encode() + b"\r\n" + body)
                line, answer_headers, answer = await read_message(reader)
                return int(line.split(" ")[1]), answer_headers, answer
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), timeout_s)
        except (asyncio.TimeoutError,) + CLOSED:
            return None

    async def put(self, config):
        """Sends a configuration until it is acknowledged or refused."""
        body = json.dumps(config).encode()
        for attempt in range(60):
            ip = self.control_ips[attempt % len(self.control_ips)]
            answer = await self.call(ip, self.control_port, "POST",
                                     "/v1/route-table", body,
                                     {"Content-Type": "application/json"})
            self.note("put", version=config["version"], to=ip,
                      status=answer and answer[0])
            if answer and (answer[0] == 200 or 400 <= answer[0] < 500):
                return answer[0]
            await asyncio.sleep(0.2)
        return None


class CannotRun(Exception):
    pass


def free_ports(count, addresses):
    """Ports that are free on all these addresses."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 30000)
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


def make_config(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health",
                          "maximum_connections": 110, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"maximum_header_bytes": 16384,
                       "maximum_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def make_route(name, host, prefix, service, execution="repeatable",
               timeout_ms=15000, target_ms=1000, attempts=2):
    return {"name": name, "host": host, "path_prefix": prefix,
            "execution": execution, "timeout_ms": timeout_ms,
            "target_ms": target_ms, "priority": 2, "service": service,
            "maximum_attempts": attempts}


def main(folder, play, **options):
    """Plays a case: `play(rig)` returns whether the rule held, and a text.
    The options are those of the rig."""
    if not os.path.exists(DAEMON):
        print("target/bin/juniperwayd is not built")
        sys.exit(NOT_RUN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    rig = Rig(**options)
    code = NOT_RUN
    try:
        held, text = asyncio.run(play(rig))
        code = HELD if held else BROKEN
        print(("held: " if held else "BROKEN: ") + text)
        rig.note("verdict", held=held, text=text)
    except CannotRun as reason:
        print("cannot run: %s" % reason)
        rig.note("cannot_run", reason=reason)
    finally:
        rig.write_record(os.path.join(folder, "record.txt"))
        rig.down()
    sys.exit(code)
