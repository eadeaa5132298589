"""Check of a recorded concurrent history of the configuration."""

import dataclasses

from rhubarbreach import codes
from rhubarbreach.state import config
from rhubarbreach.state import model


@dataclasses.dataclass(frozen=True)
class Call:
    """One change or read as its caller saw it.

    `change` is None for a read, whose `accounts` are what was read; `code`
    is None for an unknown outcome; `expected` and `revision` as in the
    messages. Times are in seconds of the monotonic clock.
    """

    started: float
    ended: float
    change: object = None
    expected: int | None = None
    code: int | None = None
    revision: int = 0
    accounts: tuple = ()


def find_faults(calls, first):
    """Return why a history is not linearizable, empty if it is.

    Parameters
    ----------
    calls : list of Call
        In any order.
    first : rhubarbreach.state.config.Config
        Configuration before the history.

    Notes
    -----
    Revisions number the accepted changes, so the order to check is given:
    a call is placed at its revision. It must not precede a call that ended
    before it started, and what it saw must be the result of the changes up
    to its revision. Unknown outcomes may fill the gaps between revisions.
    """
    ok = codes.ResultCode.OK
    known = [call for call in calls if call.code is not None]
    accepted = {}
    faults = []
    for call in known:
        if call.change is not None and call.code == ok:
            if call.revision in accepted:
                faults.append(f'revision {call.revision} given twice')
            accepted[call.revision] = call
    faults.extend(find_order_faults(known, ok))
    unknown = [call for call in calls if call.code is None]
    states = rebuild(accepted, unknown, first, faults)
    for call in known:
        faults.extend(find_result_faults(call, states, ok))
    return faults


def find_order_faults(known, ok):
    """Return the calls placed before one that ended before they started."""
    faults = []
    for later in known:
        changes = later.change is not None and later.code == ok
        for earlier in known:
            if earlier.ended >= later.started:
                continue
            least = earlier.revision + (1 if changes else 0)
            if later.revision < least:
                faults.append(f'{later} ignores {earlier}')
    return faults


def rebuild(accepted, unknown, first, faults):
    """Return the configuration at each revision, with gaps filled."""
    states = {first.revision: first}
    machine = config.ConfigMachine()
    machine.config = first
    highest = max(accepted, default=first.revision)
    left = list(unknown)
    for revision in range(first.revision + 1, highest + 1):
        call = accepted.get(revision)
        if call is None:
            matching = [
                one for one in left if one.expected in (None, revision - 1)
            ]
            if not matching:
                faults.append(f'no change for revision {revision}')
                break
            call = matching[0]
            left.remove(call)
        command = model.encode_request(str(revision), None, call.change)
        machine.apply(0, command)
        if machine.revision != revision:
            faults.append(f'change of revision {revision} is invalid')
            break
        states[revision] = machine.config
    return states


def find_result_faults(call, states, ok):
    """Return why the result of a call does not fit its revision."""
    if call.change is None:
        seen = states.get(call.revision)
        if seen is not None and seen.accounts != call.accounts:
            return [f'read of other accounts: {call}']
        return []
    if call.code == ok and call.expected not in (None, call.revision - 1):
        return [f'accepted at an unexpected revision: {call}']
    conflict = codes.ResultCode.REVISION_CONFLICT
    if call.code == conflict and call.expected == call.revision:
        return [f'refused at the expected revision: {call}']
    return []
