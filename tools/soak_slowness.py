"""Faults of the soak in which reads are sent to a second server: servers turn slow while another one of
their group fails a share of its statements, so that the attempts of one read end differently."""
import asyncio

EXTRA_WORK_MS = (800, 1200)  # over a third of the route's 2 s, after which a read is sent twice
FAIL_SHARES = (0.5, 0.8)
SLOW_S = (3, 7)


class SlownessFaults:
    """Mixin of `Soak`."""

    async def slow_and_failing(self):
        """All servers of a group but one turn slow, and that one fails."""
        group = self.random.choice(self.GROUPS)
        names = [each['name'] for each in self.members if each['group'] == group]
        failing = self.random.choice(names)
        extra, share = self.random.choice(EXTRA_WORK_MS), self.random.choice(FAIL_SHARES)
        for name in names:
            await self.member(name, extra_work_ms=0 if name == failing else extra,
                              fail_share=share if name == failing else 0)
        self.note(f'{group} is slow by {extra} ms, {failing} fails {share:.0%}')
        await asyncio.sleep(self.random.uniform(*SLOW_S))
        for name in names:
            await self.member(name, extra_work_ms=0, fail_share=0)
        self.note(f'{group} is neither slow nor failing')
