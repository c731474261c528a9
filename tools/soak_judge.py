"""Checker of the fault soak: compares the answers of callers with what backend servers ran."""
import bisect
import collections

PROMISES = ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY')
QUOTA_WINDOW_S, QUOTA_OVERAGE, QUOTA_TOLERANCE = 5, 0.1, 20  # bounds that the sites set
STALENESS_S = {'orders': 0, 'catalogue': 1.5, 'stock': 2.5}
SERVED_SHARE = 0.5   # of the operations within their limit, after all faults have ended
DISTURBED_S = 0.5    # after a pause or a cut ends, a VM counts as disturbed this long
CONTACT_S, DRAIN_S = 4, 7  # `contact_timeout_ms`, `drain_timeout_ms`
REPORT_S = 0.5       # the stand-in writes a changed registration within this time


def position(text):
    term, _, number = text.partition('.')
    return int(term), int(number)


def unit_of(entry):
    """Key of the unit that commits atomically: a transaction, or a single statement."""
    return entry['session'], entry['transaction'] or entry['id']


class Evidence:
    """Statements of callers and runs on backend servers, indexed."""

    def __init__(self, callers, record, state):
        self.sent = {name: entry for caller in callers
                     for name, entry in caller.statements.items()}
        self.operations = [each for caller in callers for each in caller.operations]
        self.runs = [run for run in record['runs'] if not run['id'].startswith('0384')]
        self.promotions = record['promotions']
        self.by_transaction = collections.defaultdict(list)
        for entry in self.sent.values():
            self.by_transaction[unit_of(entry)].append(entry)
        self.by_id = collections.defaultdict(list)
        for run in self.runs:
            self.by_id[run['id']].append(run)
        self.kept, self.rolled_back, self.places = collections.Counter(), set(), {}
        for group in state['groups'].values():
            self.rolled_back.update(group['rolled_back'])
            for entry in group['log']:
                for name in entry['statements']:
                    self.kept[name] += 1
                    self.places[name] = (entry['term'], entry['number'])

    def run_of(self, entry):
        """The run whose answer the caller received, or None."""
        return next((run for run in self.by_id[entry['id']]
                     if not run['error'] and run['signature'] == entry['signature']), None)


def plain(text):
    """Text without the name of a prepared statement, which the proxy may change."""
    words = text.split(' ', 2)
    return f'EXECUTE {words[2]}' if words[0] == 'EXECUTE' else text


def writes(entry):
    return entry['text'].startswith('WRITE') or entry['shape'].startswith('w')


def works(entry):
    return entry['text'].split()[0] in ('READ', 'WRITE', 'EXECUTE', 'COMMIT')


def mixed(evidence):
    """MIXED: a success without a backend server's signature, or with other rows."""
    for entry in evidence.sent.values():
        if entry['error'] == '' and works(entry) and entry['signature'] != '-':
            run = evidence.run_of(entry)
            if run is None or run['rows'] != entry['rows']:
                yield f'mixed: {entry["id"]} {entry["text"]}: {entry["signature"]}, ran {run}'
        elif entry['error'] == '' and entry['text'].split()[0] in ('READ', 'WRITE', 'EXECUTE'):
            yield f'mixed: {entry["id"]} {entry["text"]} has no signature'


def unasked(evidence):
    """UNASKED: a statement that no caller sent, a changed text, the wrong organisation, or a commit
    that its caller has not asked for. Own commands with the id `-` are not in the record."""
    for run in evidence.runs:
        entry = evidence.sent.get(run['id'])
        if entry is None or plain(entry['text']) != plain(run['text']):
            yield f'unasked: {run["id"]} {run["text"]}, sent {entry and entry["text"]}'
        elif run['organisation'] != entry['organisation']:
            yield f'unasked: {run["id"]} ran for {run["organisation"]}'
    for name in set(evidence.kept) | evidence.rolled_back:
        entry = evidence.sent.get(name)
        if entry is None:
            yield f'unasked: {name} took effect, but no caller sent it'
        elif entry['transaction'] > 0 and all(
                each['text'] != 'COMMIT' for each in evidence.by_transaction[unit_of(entry)]):
            yield f'unasked: {name} took effect without a COMMIT'


def pinned(evidence):
    """PINNED: transactions that share or change a connection; session values or prepared statements
    that are not the session's."""
    places, owners, first = {}, {}, {}
    for run in evidence.runs:
        entry = evidence.sent.get(run['id'])
        if entry is None or run['error'] or not works(entry):
            continue
        wrong_state = (entry['transaction'] > 0) != (run['state'] == 'T')
        if wrong_state:
            yield f'pinned: {run["id"]} {run["text"]} ran in state {run["state"]}'
        # If the answer to the first statement of a transaction is lost, the statement may be
        # retried in a new transaction, because losing the connection rolled the first one back.
        # Seed 3: the server crashed between run and answer; seed 104: it lost three answers.
        opening = first.setdefault((entry['session'], entry['transaction']), entry['id'])
        answered = evidence.run_of(entry) if entry['error'] == '' else None
        if (entry['transaction'] > 0 and opening == entry['id']
                and answered is not run and (answered is None or run['at'] < answered['at'])):
            continue
        place = (run['member'], run['connection'], run['transaction'])
        own = (entry['session'], entry['transaction'])
        if not wrong_state and entry['transaction'] > 0:
            if places.setdefault(own, place) != place or owners.setdefault(place, own) != own:
                yield f'pinned: {run["id"]}: {own} at {place}, before at {places[own]}'
        if run['values'] != entry['values']:
            yield f'pinned: {run["id"]} ran with values {run["values"]}, not {entry["values"]}'
        if run['shape'] != entry['shape']:
            yield f'pinned: {run["id"]} ran shape {run["shape"]}, not {entry["shape"]}'


def commits(evidence):
    """TWICE: a commit applied more than once. REFUSED: an effect after an error that rules it out.
    LOST: an acknowledged write that is missing."""
    for name, count in evidence.kept.items():
        if count > 1:
            yield f'twice: {name} took effect {count} times'
    for entries in evidence.by_transaction.values():
        effective = [each['id'] for each in entries
                     if each['id'] in evidence.kept or each['id'] in evidence.rolled_back]
        last = entries[-1]
        promised = any(each['error'] in PROMISES for each in entries)
        if effective and promised:
            yield f'refused: {effective} kept after {[each["error"] for each in entries]}'
        single = last['transaction'] == 0 and writes(last)
        if last['error'] == '' and (single or last['text'] == 'COMMIT'):
            missing = {each['id'] for each in entries if writes(each)} - set(effective)
            if missing:
                yield f'lost: {missing} acknowledged by {last["id"]}'


def stale(evidence):
    """STALE: a read from a log that lacks a commit which the read had to reflect."""
    acknowledged = collections.defaultdict(list)   # group -> (time, place, session)
    group_of = {'orders': 'ledger', 'catalogue': 'ledger', 'stock': 'parts'}
    for entries in evidence.by_transaction.values():
        last = entries[-1]
        if last['error'] == '':
            for each in entries:
                if each['id'] in evidence.places and each['id'] not in evidence.rolled_back:
                    acknowledged[group_of[each['route']]].append(
                        (last['answered'], evidence.places[each['id']], last['session']))
    newest = {}
    for group, rows in acknowledged.items():
        rows.sort()
        highest, times, places = (0, 0), [], []
        for at, place, _session in rows:
            highest = max(highest, place)
            times.append(at)
            places.append(highest)
        newest[group] = (times, places)
    for entry in evidence.sent.values():
        run = evidence.run_of(entry) if entry['error'] == '' and entry['rows'] else None
        if run is None or entry['route'] not in group_of:
            continue
        start = evidence.by_transaction[unit_of(entry)][0]['sent']
        times, places = newest.get(group_of[entry['route']], ([], []))
        at = bisect.bisect_left(times, start - STALENESS_S[entry['route']])
        needed = places[at - 1] if at else (0, 0)
        if entry['route'] == 'stock':
            own = [place for when, place, session in acknowledged['parts']
                   if session == entry['session'] and when < start]
            needed = max([needed] + own)
        if position(run['position']) < needed:
            yield f'stale: {entry["id"]} on {entry["route"]} at {run["position"]}, needed {needed}'


def one(evidence, events):
    """ONE: a fencing token with two holders, a token lower than an earlier one, or a write that a
    primary acknowledged after its replacement."""
    holders, newest = {}, 0
    for call in evidence.promotions:
        head = {name.lower(): value.strip() for name, _, value in
                (line.partition(':') for line in call['head'].split('\r\n')[1:])}
        token = int(head['x-jackdawvane-fencing-token'])
        holder = head['x-jackdawvane-lease-holder']
        if holders.setdefault(token, holder) != holder:
            yield f'one: {holder} and {holders[token]} have token {token}'
        if token < newest:
            yield f'one: token {token} after {newest}'
        newest = max(newest, token)
    disturbed = [at for at, text in events if text.startswith(('paused', 'cut', 'silenced'))]
    ended = [at for at, text in events if text.startswith(('resumed', 'healed'))]
    for name in evidence.rolled_back:
        entry = evidence.sent.get(name)
        for run in evidence.by_id[name] if entry and entry['error'] == '' else []:
            replaced = [call for call in evidence.promotions
                        if call['service'] == run['group'] and call['id'] != run['member']
                        and call.get('effective') and call['effective'] < run['at']
                        and position(run['position'])[0] < call['term']]
            undisturbed = all(not begin < run['at'] < end + DISTURBED_S
                              for begin, end in
                              zip(disturbed, ended + [float('inf')] * len(disturbed)))
            if replaced and undisturbed and entry['transaction'] == 0:
                yield f'one: {name} acknowledged at {run["member"]} after {replaced[-1]["id"]} led'


def one_acknowledged(evidence):
    """ONE: a single write or a COMMIT that a primary ran after its replacement and whose success its
    caller received. Nothing exempts it: a VM that is cut off must not acknowledge."""
    for entries in evidence.by_transaction.values():
        last = entries[-1]
        run = evidence.run_of(last) if last['error'] == '' else None
        single = last['transaction'] == 0 and writes(last)
        committed = last['text'] == 'COMMIT' and any(map(writes, entries))
        if run is None or not (single or committed):
            continue
        replaced = [call for call in evidence.promotions
                    if call['service'] == run['group'] and call['id'] != run['member']
                    and call.get('effective') and call['effective'] < run['at']
                    and position(run['position'])[0] < call['term']]
        if replaced:
            yield (f'one: {last["id"]} {last["text"]} acknowledged at {run["member"]} for '
                   f'{last["vm"]} from {run["from"]} {run["at"] - replaced[-1]["effective"]:.2f} s '
                   f'after {replaced[-1]["id"]} led term {replaced[-1]["term"]}')


def quota(evidence, limits):
    """QUOTA: more operations of an organisation than its limit allows in a window of 5 s."""
    first = {}
    for operation in evidence.operations:
        times = [run['at'] for name in operation['statements'] for run in evidence.by_id[name]]
        if times:
            first.setdefault(operation['organisation'], []).append(min(times))
    for organisation, times in first.items():
        limit = limits[organisation]
        max_count = ((limit['rate_per_s'] * QUOTA_WINDOW_S + limit['burst']) * (1 + QUOTA_OVERAGE)
                     + QUOTA_TOLERANCE)
        times.sort()
        for index, at in enumerate(times):
            count = bisect.bisect_right(times, at + QUOTA_WINDOW_S) - index
            if count > max_count:
                yield f'quota: {count} operations of {organisation} in {QUOTA_WINDOW_S} s'
                break


def drain(evidence, leaves, disturbances):
    """DRAIN: new work at a backend server past the drain timeout after it announced its leave.

    Work on VMs that were disturbed shortly before, or while the store was, is not checked.
    """
    def undisturbed(places, at):
        nets = {place.rpartition('.')[0] for place in places}
        return not any(begin < at < end + CONTACT_S and (net is None or net in nets)
                       for net, begin, end in disturbances)

    first_runs = {}
    for run in sorted(evidence.runs, key=lambda each: each['at']):
        entry = evidence.sent.get(run['id'])
        if entry is None or not works(entry):
            continue
        unit = unit_of(entry)
        first = first_runs.setdefault(unit, run['id']) == run['id']
        for member, begin, end in leaves if first else []:
            late = run['at'] - begin - REPORT_S - DRAIN_S
            if run['member'] != member or late < 0 or run['at'] > end:
                continue
            if undisturbed((entry['vm'], run['from']), run['at']) and undisturbed(
                    (), begin + REPORT_S):
                yield (f'drain: {run["id"]} at {member} {late + DRAIN_S:.1f} s after it left, '
                       f'entry {entry["vm"]}, from {run["from"]}')


def reverted(known_routes):
    """CONFIG: a VM's processes that knew a route, and later did not; routes are only added."""
    known = set()
    for at, lifetime, route, knows in known_routes:
        if knows:
            known.add((lifetime, route))
        elif (lifetime, route) in known:
            yield f'config: {lifetime} knew {route} before {at:.3f}, and not then'


def served(evidence, tail_from):
    """SERVED: too few operations succeed after all faults have ended; the organisation that exceeds
    its limit is not counted."""
    counted = [each for each in evidence.operations
               if each['at'] >= tail_from and each['organisation'] != 'org-hot']
    done = sum(each['ok'] for each in counted)
    if not counted or done < SERVED_SHARE * len(counted):
        kinds = collections.Counter(each['error'] for each in counted)
        yield f'served: {done} of {len(counted)} after all faults ended: {dict(kinds)}'


def judge(callers, record, state, events, limits, tail_from, leaves, disturbances,
          known_routes, strict=False):
    """Returns a text for each violated guarantee. `strict`: no cut exempts acknowledged writes."""
    evidence = Evidence(callers, record, state)
    found = []
    primaries = one_acknowledged(evidence) if strict else ()
    for check in (primaries, mixed(evidence), unasked(evidence), pinned(evidence), commits(evidence),
                  stale(evidence), one(evidence, events), quota(evidence, limits),
                  drain(evidence, leaves, disturbances), reverted(known_routes), served(evidence, tail_from)):
        found += list(check)
    return found
