"""Linearizability check of a concurrent history of the configuration."""

import dataclasses

from rhubarbreach import codes
from rhubarbreach.state import config
from rhubarbreach.state import model


@dataclasses.dataclass(frozen=True)
class Call:
    """Change or read as its caller saw it.

    `change` is None for a read, and `accounts` holds the accounts that were
    read. `code` is None for an unknown outcome. `expected` and `revision`
    have the same meaning as in the messages. Times are in seconds of the
    monotonic clock.
    """

    started: float
    ended: float
    change: object = None
    expected: int | None = None
    code: int | None = None
    revision: int = 0
    accounts: tuple = ()


def find_violations(calls, initial):
    """Return the linearizability violations of a history.

    Parameters
    ----------
    calls : list of Call
        Calls of the history in any order.
    initial : rhubarbreach.state.config.Config
        Configuration before the history.

    Notes
    -----
    Revisions number the accepted changes, so they give the order to check.
    A call must not have a lower revision than a call that ended before it
    started, and it must have seen the result of the changes up to its
    revision. Changes with unknown outcomes may fill gaps between revisions.
    """
    ok = codes.ResultCode.OK
    completed = [call for call in calls if call.code is not None]
    accepted = {}
    violations = []
    for call in completed:
        if call.change is not None and call.code == ok:
            if call.revision in accepted:
                violations.append(
                    f'revision {call.revision} was assigned twice'
                )
            accepted[call.revision] = call
    violations.extend(find_order_violations(completed, ok))
    unknown = [call for call in calls if call.code is None]
    states = rebuild_states(accepted, unknown, initial, violations)
    for call in completed:
        violations.extend(find_result_violations(call, states, ok))
    return violations


def find_order_violations(completed, ok):
    """Return the calls ordered before one that ended before they started."""
    violations = []
    for later in completed:
        is_change = later.change is not None and later.code == ok
        for earlier in completed:
            if earlier.ended >= later.started:
                continue
            min_revision = earlier.revision + (1 if is_change else 0)
            if later.revision < min_revision:
                violations.append(f'{later} does not see {earlier}')
    return violations


def rebuild_states(accepted, unknown, initial, violations):
    """Return the configuration at each revision.

    Changes with unknown outcomes fill the gaps between revisions.
    """
    states = {initial.revision: initial}
    machine = config.ConfigMachine()
    machine.config = initial
    highest = max(accepted, default=initial.revision)
    remaining = list(unknown)
    for revision in range(initial.revision + 1, highest + 1):
        call = accepted.get(revision)
        if call is None:
            candidates = [
                candidate
                for candidate in remaining
                if candidate.expected in (None, revision - 1)
            ]
            if not candidates:
                violations.append(f'no change for revision {revision}')
                break
            call = candidates[0]
            remaining.remove(call)
        command = model.encode_request(str(revision), None, call.change)
        machine.apply(0, command)
        if machine.revision != revision:
            violations.append(f'change of revision {revision} is invalid')
            break
        states[revision] = machine.config
    return states


def find_result_violations(call, states, ok):
    """Return why the result of a call does not match its revision."""
    if call.change is None:
        state = states.get(call.revision)
        if state is not None and state.accounts != call.accounts:
            return [f'read returned accounts of another revision: {call}']
        return []
    if call.code == ok and call.expected not in (None, call.revision - 1):
        return [f'change accepted at an unexpected revision: {call}']
    conflict = codes.ResultCode.REVISION_CONFLICT
    if call.code == conflict and call.expected == call.revision:
        return [f'change refused at the expected revision: {call}']
    return []
