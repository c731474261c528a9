"""Callers of the fault soak: SQL sessions that record statements and answers for the checker."""
import asyncio
import random
import time

ROUTES = ('orders', 'catalogue', 'stock')
ITEMS = 40
STATEMENT_S = 4      # a statement without an answer is abandoned; the route's timeout is 2 s
PAUSE_S = (0.02, 0.5)


class Ended(Exception):
    """The session has ended."""


class Caller:
    """A caller that holds one session at a time, on a randomly chosen VM."""
    statement_s = STATEMENT_S

    def __init__(self, number, vms, address, organisation, key, seed):
        self.number, self.vms, self.address = number, vms, address
        self.organisation, self.key = organisation, key
        self.random = random.Random(seed)
        self.statements = {}   # id -> statement and its answer
        self.operations = []
        self.sequence, self.stopping = 0, False
        self.reader = self.writer = None

    def stop(self):
        self.stopping = True

    async def run(self):
        while not self.stopping:
            try:
                await self.open(self.random.choice(ROUTES))
                while not self.stopping and self.stays():
                    await self.operate()
                    await asyncio.sleep(self.pause())
            except (Ended, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(self.random.uniform(0.05, 0.4))
            finally:
                self.close()

    def stays(self):
        """Whether the session goes on with another operation."""
        return self.random.random() > 0.1

    def pause(self):
        """Seconds until the next operation."""
        return self.random.uniform(*PAUSE_S)

    async def probe(self, route):
        """Whether a read on a new session of `route` succeeds."""
        try:
            await self.open(route)
            return (await self.query('READ probe', 0))['error'] == ''
        except (Ended, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            self.close()

    async def knows(self, route):
        """Whether the VM has the route; None if the answer is neither."""
        try:
            await self.open(route)
            return True
        except Ended as refusal:
            return False if b'NODB' in refusal.args[0] else None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            self.close()

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def open(self, route):
        host, port = self.random.choice(self.vms)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, port, local_addr=(self.address, 0)), 2)
        self.route, self.vm, self.values, self.prepared = route, host, {}, {}
        self.session = f'{self.number}-{self.sequence}'
        self.writer.write(f'STARTUP {route} {self.key}\r\n'.encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b'READY'):
            raise Ended(line)

    async def query(self, text, transaction):
        self.sequence += 1
        name = f'{self.number:04x}{self.sequence:012x}'
        sent = dict(id=name, text=text, route=self.route, vm=self.vm, session=self.session,
                    organisation=self.organisation, transaction=transaction,
                    values=dict(self.values), sent=time.monotonic(), answered=None, error=None,
                    rows=[], signature='', shape='')
        words = text.split()
        if words[0] == 'EXECUTE':
            sent['shape'] = self.prepared[words[1]]
        self.statements[name] = sent
        self.writer.write(f'QUERY {name} {text}\r\n'.encode('latin-1'))
        while True:
            line = await asyncio.wait_for(self.reader.readline(), self.statement_s)
            if not line.endswith(b'\r\n'):
                raise Ended('closed')
            word, _, rest = line[:-2].decode('latin-1').partition(' ')
            if word == 'ROW':
                sent['rows'].append(rest)
            elif word == 'COMPLETE':
                sent['error'], sent['signature'] = '', rest
            elif word == 'ERROR':
                sent['error'] = rest.split(' ')[0]
            elif word == 'READY':
                sent['answered'] = time.monotonic()
                sent['state'] = rest.split(' ')[0]
                return sent

    async def operate(self):
        """Runs one operation of a random kind: a statement, a SET and a read, or a transaction."""
        operation = dict(at=time.monotonic(), ok=False, organisation=self.organisation,
                         statements=[], error='no answer')
        self.operations.append(operation)
        before = self.sequence
        kinds = [self.read, self.read, self.transaction, self.read_with_value, self.execute]
        if self.route != 'catalogue':
            kinds.append(self.write)
        try:
            operation['error'] = await self.random.choice(kinds)()
            operation['ok'] = operation['error'] == ''
        finally:
            operation['statements'] = [f'{self.number:04x}{number:012x}'
                                       for number in range(before + 1, self.sequence + 1)]

    def item(self):
        return f'i{self.random.randrange(ITEMS)}'

    def writing(self):
        return f'{self.item()} d{self.number}x{self.sequence}'

    async def read(self):
        return (await self.query(f'READ {self.item()}', 0))['error']

    async def write(self):
        return (await self.query(f'WRITE {self.writing()}', 0))['error']

    async def read_with_value(self):
        name, value = self.random.choice(('zone', 'unit')), f'v{self.random.randrange(5)}'
        if (await self.query(f'SET {name} {value}', 0))['error']:
            raise Ended('SET was refused')
        self.values[name] = value
        return await self.read()

    async def execute(self):
        writes = self.route != 'catalogue' and self.random.random() < 0.4
        name = f's{self.random.randrange(3)}'
        if name not in self.prepared:
            shape = f'{"w" if writes else "r"}{self.random.randrange(4)}'
            prepared = await self.query(
                f'PREPARE {name} {"WRITE" if writes else "READ"} {shape}', 0)
            if prepared['error']:
                raise Ended('PREPARE was refused')
            self.prepared[name] = shape
        arguments = self.writing() if self.prepared[name][0] == 'w' else self.item()
        return (await self.query(f'EXECUTE {name} {arguments}', 0))['error']

    async def transaction(self):
        number = self.sequence + 1
        only_reads = self.route == 'catalogue' or self.random.random() < 0.3
        texts = ['BEGIN READ' if only_reads else 'BEGIN']
        for _ in range(self.random.randint(1, 4)):
            reads = only_reads or self.random.random() < 0.5
            texts.append(f'READ {self.item()}' if reads else f'WRITE {self.writing()}')
        texts.append('ROLLBACK' if self.random.random() < 0.15 else 'COMMIT')
        for text in texts:
            answer = await self.query(text, number)
            if answer['error']:
                if answer['state'] == 'I' and text != texts[-1]:
                    return answer['error']
                if answer['state'] != 'I':
                    await self.query('ROLLBACK', number)
                return answer['error']
            await asyncio.sleep(self.random.uniform(0, 0.05))
        return ''


class Keeper(Caller):
    """A caller that uses its session until the VM ends it."""

    def stays(self):
        return True


class Persistent(Keeper):
    """A caller that tries again at once after an operation that has failed."""

    def pause(self):
        return 0 if self.operations[-1]['error'] == 'FAILED' else super().pause()


class Impatient(Caller):
    """A caller that gives up a slow statement, closes its session and opens another one."""
    statement_s = 0.8


class Stranger(Caller):
    """A caller that sends lines which the protocol allows, but no other caller sends."""

    async def operate(self):
        await self.random.choice([self.line_feed, self.own_id, self.cut_off, self.odd_bytes])()
        raise Ended('once per session')

    async def line_feed(self):
        """One line that would be two if it ended at the line feed."""
        second = self.random.choice([f'WRITE {self.writing()}', 'COMMIT', f'READ {self.item()}'])
        hidden = f'{self.number:04x}ff{self.sequence:010x}'
        first = self.random.choice([f'WRITE {self.writing()}', f'READ {self.item()}'])
        await self.query(f'{first}\nQUERY {hidden} {second}', 0)

    async def own_id(self):
        """Statements under the id of the proxy's own commands."""
        for text in (f'WRITE {self.writing()}', f'READ {self.item()}', 'COMMIT'):
            self.writer.write(f'QUERY - {text}\r\n'.encode())
        await asyncio.wait_for(self.reader.read(), 0.5)

    async def cut_off(self):
        """A line without an end when the connection ends."""
        self.writer.write(f'QUERY {self.number:04x}fe{self.sequence:010x} WRITE '
                          f'{self.writing()}'.encode())
        await self.writer.drain()

    async def odd_bytes(self):
        """Bytes that are not UTF-8, in an item and in data."""
        item, data = 'i\xff\xc0', f'\x80\xfe{self.sequence}'
        await self.query(f'WRITE {item} {data}', 0)
        await self.query(f'READ {item}', 0)
