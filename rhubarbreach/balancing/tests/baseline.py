"""Choice of an endpoint as of b218eb7, which counts requests alone."""

import random

from rhubarbreach import codes

__all__ = ['choose_endpoint']

LOW_UTILIZATION_FRACTION = 0.625


def choose_endpoint(
    candidates,
    online,
    batch,
    zone,
    excluded=(),
    queue_limit=2,
    zone_penalty=0.3,
):
    lowest = float('inf')
    best = []
    for endpoint in candidates:
        if endpoint.endpoint_id in excluded:
            continue
        running = online.get(endpoint.endpoint_id, 0)
        total = running + batch.get(endpoint.endpoint_id, 0)
        if total >= endpoint.slots:
            total = endpoint.slots + running
        total = max(total, endpoint.slots * LOW_UTILIZATION_FRACTION)
        if endpoint.availability_zone != zone:
            total += zone_penalty
        load = total / max(1, endpoint.slots)
        if load < lowest:
            lowest = load
            best = []
        if load == lowest:
            best.append(endpoint)
    if not best:
        return codes.Refusal(
            codes.ResultCode.NO_ENDPOINT,
            'no endpoint accepts requests',
        )
    endpoint = random.choice(best)
    running = online.get(endpoint.endpoint_id, 0)
    if running >= endpoint.slots + queue_limit:
        return codes.Refusal(
            codes.ResultCode.QUEUE_FULL,
            f'all endpoints are full: {endpoint.endpoint_id} has {running} '
            f'online requests for {endpoint.slots} slots',
        )
    return endpoint
