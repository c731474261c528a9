"""The machine that holds the promotion duty is cut off from the platform while it replaces a primary.

A relay stands between each machine and the platform. While a machine is cut off, the relay behaves as
a network that delivers nothing: what was written on a connection from before the cut is kept, and
arrives with the sender's next repetition (TCP repeats after 0.2, 0.4, 0.8, ... s) once the cut has
ended, unless the sender has reset the connection. A connection that is opened during the cut comes to
nothing.
"""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

CUT_S = 7.5        # node_cut of the sheet: up to 12 s
WAIT_S = 16        # from the start of the cut
FIRST_REPEAT_S = 0.2


class Relay:
    """Connections of one machine to the platform."""

    def __init__(self, record, machine):
        self.record, self.machine, self.cut = record, machine, False
        self.healed = asyncio.Event()

    async def listen(self, host, port, target):
        async def serve(reader, writer):
            await self.serve(reader, writer, target)
        await asyncio.start_server(serve, host, port)

    def begin_cut(self):
        self.record('cut_off', machine=self.machine)
        self.cut = True
        self.healed.clear()

    def end_cut(self):
        self.record('reachable_again', machine=self.machine)
        self.cut = False
        self.healed.set()

    async def serve(self, reader, writer, target):
        if self.cut:  # No handshake takes place: nothing of this connection ever arrives.
            while await reader.read(4096):
                pass
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*target)
            await asyncio.gather(self.copy(reader, far_writer), self.copy(far_reader, writer))
        except (ConnectionError, OSError):
            writer.transport.abort()

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.arrive(data)
                if reader.exception():  # Reset while the data was held up: its sender has dropped it.
                    raise reader.exception()
                writer.write(data)
                await writer.drain()
            await self.arrive(b'')
            writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()  # The sender has reset the connection: nothing more arrives.

    async def arrive(self, data):
        """Returns when data that is sent now arrives."""
        if not self.cut:
            return
        repeat, wait = FIRST_REPEAT_S, FIRST_REPEAT_S
        sent = standins.now()
        while self.cut:
            await asyncio.sleep(max(0, sent + repeat - standins.now()))
            wait *= 2
            repeat += wait
        if b'/promote' in data:
            self.record('held_up', machine=self.machine,
                        seconds=round(standins.now() - sent, 2), call='promote')


async def case(fleet, trouble):
    fleet.route('intake', 'primary', 800)
    fleet.tenant('office', 2000, 2000)
    net, relays = fleet.net, {}
    hosts = {name: net.host(200 + number) for number, name in enumerate(fleet.machines)}
    fleet.store_address = lambda name: f'{hosts[name]}:{net.ports["store"]}'
    fleet.cloud_address = lambda name: f'{hosts[name]}:{net.ports["cloud"]}'
    await fleet.start_platform()
    for name, host in hosts.items():
        relays[name] = Relay(fleet.record, name)
        for port in ('store', 'cloud'):
            await relays[name].listen(host, net.ports[port], (net.host(2), net.ports[port]))
    await fleet.start_machines(3)

    async def until(condition, seconds):
        end = standins.now() + seconds
        while not condition():
            if standins.now() > end:
                raise SystemExit(2)
            await asyncio.sleep(0.02)

    # A first primary is lost; its replacement shows who holds the duty.
    first = fleet.group.primary()
    first.crash()
    await until(lambda: fleet.cloud.calls, 15)
    await until(lambda: fleet.group.primary() is not first, 10)
    await asyncio.sleep(3)
    first.restart()
    await asyncio.sleep(2)
    holder = fleet.cloud.calls[-1][0]
    relay = relays[holder]
    calls_before = len(fleet.cloud.calls)
    # The second primary is lost for good.
    if trouble:
        relay.begin_cut()
    second = fleet.group.primary()
    second.crash()
    began = standins.now()
    if trouble:
        await asyncio.sleep(CUT_S)
        relay.end_cut()
    await asyncio.sleep(began + WAIT_S - standins.now())
    later = fleet.cloud.calls[calls_before:]
    if not later:
        raise SystemExit(2)  # The second primary wasn't replaced.
    broken, highest = 0, 0
    for machine, fence, service, id in fleet.cloud.calls:
        if fence < highest:
            broken += 1
            fleet.record('ONE', by=machine, fence=fence, seen=highest, id=id)
        highest = max(highest, fence)
    return broken


sys.exit(standins.main(case, pathlib.Path(__file__).parent))
