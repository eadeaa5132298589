"""Detection of a leader that handles messages late.

Designed for a store whose processor is slowed down while it leads: its
heartbeats still go out, so that the others elect no leader, but the answers of
the others and the calls of entry hosts wait until their callers have given up.
"""

from rhubarbreach.consensus import changes
from rhubarbreach.consensus import model
from rhubarbreach.consensus import stalling
from rhubarbreach.consensus import state as states
from rhubarbreach import eventlog

__all__ = ['hand_over_if_slow']

LOG = eventlog.Logger('consensus')

# Time since the last messages that a majority has answered above which a
# leader is slow. Entry hosts wait for 0.4 s for an answer.
SLOW_SECONDS = 0.3
# A store does not hand over again before this time has passed, as the others
# may be as slow.
HAND_OVER_INTERVAL_SECONDS = 30.0


def hand_over_if_slow(state, now):
    """Transfer leadership to another voter if this leader is slow.

    Parameters
    ----------
    state : State
        State of a leader.
    now : float
        Seconds of the monotonic clock.
    """
    since = max(states.get_quorum_contact(state, now), state.leader_since)
    state.quorum_delay.observe(now - since, now)
    if (
        state.quorum_delay.seconds <= SLOW_SECONDS
        or state.transfer_id is not None
        or now - state.leader_since < stalling.MIN_LEAD_SECONDS
        or now < state.hand_over_due
    ):
        return
    successor = stalling.choose_successor(state)
    if successor is None:
        return
    state.hand_over_due = now + HAND_OVER_INTERVAL_SECONDS
    LOG.warning(
        'event=leader_slow group={} seconds={:.3f} successor={}',
        state.settings.group_id,
        state.quorum_delay.seconds,
        successor,
    )
    changes.start_transfer(state, successor, model.make_future())
