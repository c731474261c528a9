"""Faults of the soak in which the kernel refuses connections to servers that run, and ends open
connections with a reset. A refusal closes the listening socket of a relay, so it concerns the new
connections of all VMs; open connections of VMs that are not cut off go on."""
import asyncio
import contextlib
import time

SIDE_VMS = 2            # VMs on the side of the old primary
RESET_CUT_S = (3, 6)
FLAPPING_CLOSED_S, FLAPPING_OPEN_S = (0.3, 0.7), (0.1, 0.3)
CLOSED_S = (1, 6)       # a server accepts no connection and serves the open ones


class RefusalFaults:
    """Mixin of `Soak`."""

    def places_of(self, group):
        return [each['place'] for each in self.members if each['group'] == group]

    async def members_of(self, group):
        return (await self.control('/inspect'))['groups'][group]['members']

    async def primary_of(self, group):
        primaries = [each for each in await self.members_of(group) if each['primary']]
        return max(primaries, key=lambda each: each['term'])['id'] if primaries else None

    async def holder(self):
        items = (await self.control('/inspect'))['store']['items']
        return self.decoded(items.get(self.HOLDER_KEY, ''))

    @contextlib.asynccontextmanager
    async def refusing(self, places):
        """The kernel refuses new connections to `places` while the block runs."""
        for place in places:
            self.refusals[place] += 1
        await self.link(dict(refuse=list(places)))
        try:
            yield
        finally:
            for place in places:
                self.refusals[place] -= 1
            await self.link(dict(listen=[each for each in places if not self.refusals[each]]))

    @contextlib.contextmanager
    def group_for_cut(self):
        """Reserves a group that no other cut of this kind uses; None if all are in use."""
        free = [each for each in self.GROUPS if each not in self.cut_groups]
        group = self.random.choice(free) if free else None
        self.cut_groups.add(group)
        yield group
        self.cut_groups.discard(group)

    async def refuse_during_cut(self, places, seconds, flapping):
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            async with self.refusing(places):
                closed = self.random.uniform(*FLAPPING_CLOSED_S) if flapping else left
                await asyncio.sleep(min(left, closed))
            if flapping:
                await asyncio.sleep(self.random.uniform(*FLAPPING_OPEN_S))

    async def flapping_cut(self):
        """As `reset_cut`, with listening sockets that open for moments: VMs that are not cut off
        connect then, and what the others try is lost."""
        await self.reset_cut(flapping=True)

    async def reset_cut(self, flapping=False):
        """A primary and some VMs are on one side; the other servers of its group, the store and the
        other VMs are on the other side. Connections between servers and VMs across the cut are
        reset and the replicas refuse new ones; in half of the runs the primary does, too. What VMs
        send to each other and to the store is lost."""
        with self.group_for_cut() as group:
            primary = await self.primary_of(group) if group else None
            if primary is None:
                return
            holder = await self.holder()
            near = self.random.sample([each['place'] for each in self.vms
                                       if each['name'] != holder], SIDE_VMS)
            far = [each['place'] for each in self.vms if each['place'] not in near]
            replicas = [each for each in self.places_of(group) if each != primary]
            across = [[vm, other] for vm in near for other in replicas]
            across += [[vm, primary] for vm in far]
            silent = [[vm, other] for vm in near for other in far + ['store']]
            refusing = replicas + ([primary] if self.random.random() < 0.5 else [])
            with self.disturbed([None]):
                await self.member(primary, isolated=True)
                await self.link(dict(refuse=refusing, cut=across + silent, reset=across))
                self.note(f'reset cut: {primary} and {near} from {replicas}, {far} and the '
                          f'store; {refusing} refuse; coordinator {holder}')
                await self.refuse_during_cut(refusing, self.random.uniform(*RESET_CUT_S), flapping)
                await self.link(dict(heal=across + silent))
                await self.member(primary, isolated=False)
                self.note(f'reset cut of {primary} ended')

    async def close_listener(self):
        """A backend server accepts no connection for some seconds, and serves the open ones."""
        place = self.random.choice(self.members)['place']
        async with self.refusing([place]):
            self.note(f'backend server {place} refuses new connections')
            await asyncio.sleep(self.random.uniform(*CLOSED_S))
        self.note(f'backend server {place} accepts connections')

    async def close_listeners(self):
        """As `close_listener`, for both replicas of a group or for the whole group."""
        group = self.random.choice(self.GROUPS)
        primary = await self.primary_of(group)
        whole = self.random.random() < 0.3
        places = [each for each in self.places_of(group) if whole or each != primary]
        async with self.refusing(places):
            self.note(f'backend servers {places} refuse new connections')
            await asyncio.sleep(self.random.uniform(*CLOSED_S))
        self.note(f'backend servers {places} accept connections')

    async def crash_refusing(self):
        """A backend server crashes and refuses connections; in half of the runs its listening
        socket closes up to 2 s before its open connections end."""
        with self.member_for_fault() as name:
            if name is None:
                return
            async with self.refusing([name]):
                if self.random.random() < 0.5:
                    self.note(f'backend server {name} refuses new connections')
                    await asyncio.sleep(self.random.uniform(0.1, 2))
                await self.member(name, state='crashed')
                self.note(f'backend server {name} has crashed')
                await asyncio.sleep(self.random.uniform(0.5, 6))
            await self.member(name, state='running')
            self.note(f'backend server {name} runs again')

    async def double_group_answers(self):
        """All servers of a group send a share of their answers twice, those to status requests, holds
        and resumes included; the answers to promotion calls come twice."""
        group = self.random.choice(self.GROUPS)
        fault = dict(double_answers=self.random.choice([0.05, 0.2]), double_cuts=0,
                     double_delay_ms=self.random.choice([10, 100, 300]))
        for place in self.places_of(group):
            await self.member(place, **fault)
        await self.control('/fault', dict(double_promotions=True))
        self.note(f'backend servers of {group} answer twice: {fault}')
        await asyncio.sleep(self.random.uniform(3, 8))
        for place in self.places_of(group):
            await self.member(place, double_answers=0)
        await self.control('/fault', dict(double_promotions=False))
        self.note(f'backend servers of {group} answer once')
