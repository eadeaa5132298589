"""Metrics and timeline events of a group."""

__all__ = ['observe_sync', 'record_leadership']


def observe_sync(group, seconds):
    """Record how long a sync of the log took."""
    if group.metrics is not None:
        group.metrics.observe(
            'log_sync_seconds', seconds, group=group.group_id
        )


def record_leadership(group):
    """Record that a replica has started or stopped leading."""
    name = 'leadership_ended'
    if group.is_leader:
        name = 'leadership_started'
    if group.metrics is not None:
        group.metrics.count(f'log_{name}_total', group=group.group_id)
    if group.recorder is not None:
        detail = f'group={group.group_id} term={group.term}'
        group.recorder.record(name, detail=detail)
