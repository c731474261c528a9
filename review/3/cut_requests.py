"""A machine gets SIGTERM while requesters with open sessions go on sending."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

GRACE_S, LOSS_TOLERANCE_S = 6, 0.2   # bounds of the site
READ_S = 0.110                       # the longest lookup of the sheet
SESSIONS = 5
ROUNDS = 3


async def case(fleet, trouble):
    fleet.route('status', 'bounded_staleness', 1200, max_staleness_ms=1500)
    fleet.tenant('office', 2000, 2000)
    await fleet.start_platform()
    await fleet.start_machines(3)
    arrivals, ends, broken = {}, {}, []
    for member in fleet.members:
        member.work = lambda verb, rest: READ_S
        member.seen = lambda session, id: ends.setdefault(id, standins.now())

    async def technician(machine, number, stopped):
        """Lookups in series until the session ends."""
        session = standins.Session(fleet.record, f'{machine}.{number}')
        await session.open(fleet.frontend(machine), 'status', 'key-of-office')
        until = stopped + GRACE_S + 1
        while standins.now() < until:
            answer = await session.query(f'READ case-{number}')
            if not answer.closed:
                await asyncio.sleep(0.005)
                continue
            sent, waited = answer.sent_at - stopped, answer.at - answer.sent_at
            await asyncio.sleep(0.5)  # The member ends its work.
            passed_on = answer.id in ends
            excused = sent <= 3 and ends.get(answer.id, 0) - stopped >= GRACE_S * 5 / 6
            if (passed_on or waited > LOSS_TOLERANCE_S) and not excused:
                broken.append(answer.id)
                fleet.record('LOST', requester=session.name, id=answer.id,
                             sent_s_after_sigterm=round(sent, 3), waited_s=round(waited, 3),
                             passed_on=passed_on)
            return

    for machine in list(fleet.machines)[:ROUNDS]:
        begin = standins.now() + 1
        sessions = [asyncio.create_task(technician(machine, number, begin))
                    for number in range(SESSIONS)]
        await asyncio.sleep(begin - standins.now())
        if trouble:
            fleet.signal(machine, signal.SIGTERM)
        await asyncio.gather(*sessions)
        if trouble:
            if fleet.processes[machine].poll() is None:
                fleet.signal(machine, signal.SIGKILL)
            fleet.processes[machine].wait()
            fleet.start(machine)
        await asyncio.sleep(2)
    return len(broken)


sys.exit(standins.main(case, pathlib.Path(__file__).parent))
