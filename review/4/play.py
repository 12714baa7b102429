"""Case 4 with real processes: six control machines, a router in each zone, and
a proxy before each control machine that cuts it off from the others."""
import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins2
from standins2 import (CLOSED, TROUBLE, CannotRun, Rig, Server, free_ports, main,
                       make_config, make_route)

# Bounds of tadamoun-search-grown.
CONTACT_S = 6.0
CONFIG_S = 4.0
CATCH_UP_S = 6.0
FIRST_CUT_S = 4.0
SECOND_CUT_S = 3.0
THIRD_CUT_S = 5.0
# The group makes the learner a voter about 1.5 s after another voter fell silent.
THIRD_CUT_AFTER_S = 1.3
ATTEMPTS = 3
PROBES = 20


class CutRig(Rig):
    """Every control machine is dialled through a proxy at its address."""

    def __init__(self):
        super().__init__(router_zones=["z-%s" % c for c in "abcdef"])
        self.zones = list(self.router_zones)
        first = self.control_ips[0].rsplit(".", 1)[0]
        self.control_ips = ["%s.%d" % (first, i + 1) for i in range(6)]
        self.inner_api, self.inner_peer = free_ports(2, self.control_ips)
        self.cut = set()
        self.paths = set()

    def _settings(self, name, bootstrap):
        text = super()._settings(name, bootstrap)
        if not name.startswith("core"):
            return text
        ip = self.control_ips[int(name.split("-")[1]) - 1]
        text = text.replace('http_listen = "%s:%d"' % (ip, self.control_port),
                            'http_listen = "%s:%d"' % (ip, self.inner_api))
        text = text.replace('peer_listen = "%s:%d"' % (ip, self.peer_port),
                            'peer_listen = "%s:%d"\npeer_advertise = "%s:%d"' %
                            (ip, self.inner_peer, ip, self.peer_port))
        return text.replace("tolerated_losses = 1", "tolerated_losses = 2")

    async def start_platform(self):
        await super().start_platform()
        for ip in self.control_ips:
            for outer, inner in ((self.control_port, self.inner_api),
                                 (self.peer_port, self.inner_peer)):
                await asyncio.start_server(
                    lambda r, w, ip=ip, inner=inner: self._pass(r, w, ip, inner),
                    ip, outer)

    def _is_cut(self, source, target):
        """Whether a control machine is at the other end, and one of them is cut
        off. Routers, operators and clients reach all."""
        return source in self.control_ips and bool({source, target} & self.cut)

    async def _pass(self, reader, writer, target, port):
        source = writer.get_extra_info("peername")[0]
        path = (source, target, writer)
        self.paths.add(path)
        other = None
        try:
            if self._is_cut(source, target):
                return
            back, other = await asyncio.open_connection(target, port)
            await asyncio.gather(self._copy(reader, other), self._copy(back, writer))
        except CLOSED:
            pass
        finally:
            self.paths.discard(path)
            writer.transport.abort()
            if other:
                other.transport.abort()

    async def _copy(self, reader, writer):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        raise ConnectionError

    async def cut_off(self, ip, for_s):
        """core_cut, reset: the machine and the other control machines."""
        self.note("cut", machine=ip)
        self.cut.add(ip)
        for source, target, writer in list(self.paths):
            if self._is_cut(source, target):
                writer.transport.abort()
        await asyncio.sleep(for_s)
        self.cut.discard(ip)
        self.note("cut_ends", machine=ip)

    async def status(self):
        for ip in self.control_ips:
            answer = await self.call(ip, self.control_port, "GET", "/v1/status")
            status = json.loads(answer[2]) if answer and answer[0] == 200 else {}
            if status.get("leader_reachable"):
                return status
        return None

    async def voters(self):
        """Addresses of the voters that don't lead, and of the learners."""
        status = await self.status()
        if not status:
            return [], []
        leader = status["leader"]
        split = ([], [])
        for member in status["members"]:
            if member["id"] != leader and member["active"]:
                split[0 if member["voter"] else 1].append(
                    member["address"].split(":")[0])
        return split

    async def until(self, settled):
        for _ in range(60):
            voters, learners = await self.voters()
            if settled(voters, learners):
                return voters, learners
            await asyncio.sleep(0.25)
        raise CannotRun("the control group did not settle")


def config_of(version):
    routes = [make_route("r-%d" % v, "h%d.example" % v, "/q/", "svc-a")
              for v in range(1, version + 1)]
    return make_config(version, routes, ["svc-a"])


async def make_cuts(rig, machine):
    """The machine is cut off and becomes the learner; as it is made a voter
    again in place of another one, it is cut off once more."""
    await rig.cut_off(machine, FIRST_CUT_S)
    await rig.until(lambda voters, learners: machine in learners)
    await asyncio.sleep(CATCH_UP_S)
    voters, _ = await rig.voters()
    other = [ip for ip in voters if ip != machine][0]
    second = asyncio.create_task(rig.cut_off(other, SECOND_CUT_S))
    await asyncio.sleep(THIRD_CUT_AFTER_S)
    await rig.cut_off(machine, THIRD_CUT_S)
    await second


async def probe(rig, version, router):
    """Asks the router for the newest route; the answers' statuses."""
    statuses = []
    for number in range(PROBES):
        request = "v%d-%d" % (version, number)
        answer = await rig.call(rig.router_ips[router], rig.front_port, "GET",
                                "/q/%d" % number,
                                headers={"Host": "h%d.example" % version,
                                         "Request-Id": request,
                                         "Deadline-Ms": "2000"}, timeout_s=2.2)
        rig.note("answered", request=request, router="front-%d" % (router + 1),
                 status=answer and answer[0])
        statuses.append(answer and answer[0])
        await asyncio.sleep(0.1)
    return statuses


async def play(rig):
    for i in range(3):
        await Server(rig, "svc-a", rig.server_net + str(1 + i), rig.zones[i],
                     0.01, 8).start()
    await rig.up(config_of(1))
    voters, _ = await rig.until(lambda v, l: len(v) == 4 and len(l) == 1)
    old = 0
    for attempt in range(ATTEMPTS):
        version = attempt + 2
        machine = voters[0]
        if TROUBLE:
            await make_cuts(rig, machine)
        await asyncio.sleep(CONTACT_S + 1.0)
        if await rig.put(config_of(version)) != 200:
            raise CannotRun("version %d was not acknowledged" % version)
        await asyncio.sleep(CONFIG_S + 1.0)
        statuses = await probe(rig, version, rig.control_ips.index(machine))
        old = sum(status == 404 for status in statuses)
        if old:
            break
        voters, _ = await rig.voters()
    return old == 0, ("after %d rounds of cuts, %d of %d requests to the router "
                      "in the zone of the machine that was cut off got 404 for a "
                      "route that had been acknowledged more than configMs (4 s) "
                      "before" % (attempt + 1, old, PROBES))


standins2.Rig = CutRig
main(os.path.dirname(os.path.abspath(__file__)), play)
