"""Tests of a complete host in front of an emulated engine."""

import concurrent.futures
import http.client
import json
import time

from rhubarbreach.bench import load
from rhubarbreach import clock
from rhubarbreach.daemon.tests import conftest
from rhubarbreach.state import model

HEADERS = {'Authorization': 'Bearer key'}


def request(deployment, method, path, body=None):
    connection = http.client.HTTPConnection(deployment.http, timeout=30)
    connection.request(method, path, body, HEADERS)
    response = connection.getresponse()
    return response.status, response.read()


def send(deployment, prompt='plan', max_tokens=8):
    arrival = load.Arrival(
        0.0, 'school', 'key', '/v1/completions', prompt, max_tokens
    )
    return load.send_request(
        lambda: deployment.http, arrival, 'rota', time.monotonic()
    )


def make_job(count):
    lines = [
        json.dumps(
            {
                'custom_id': f'item-{number}',
                'method': 'POST',
                'url': '/v1/completions',
                'body': {'model': 'rota', 'prompt': 'p', 'max_tokens': 2},
            }
        )
        for number in range(count)
    ]
    return '\n'.join(lines)


def create_job(deployment, count):
    status, data = request(deployment, 'POST', '/v1/batches', make_job(count))
    assert status == 200, data
    return json.loads(data)['id']


def wait_completed(deployment, job_id):
    def is_completed():
        _, data = request(deployment, 'GET', f'/v1/batches/{job_id}')
        return json.loads(data).get('status') == 'completed'

    conftest.wait_for(is_completed)


def test_request_is_served_by_all_packages_together(
    deployment, engine_endpoint
):
    """Guards against packages that fail when they are combined."""
    sample = send(deployment)
    assert (sample.status, sample.complete, sample.correct) == (
        200,
        True,
        True,
    )


def test_drain_cuts_no_stream_and_refuses_new_requests(
    deployment, engine_endpoint
):
    """Guards against a shutdown that cuts streams in flight."""
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        running = [
            pool.submit(send, deployment, f'plan {number}', 200)
            for number in range(8)
        ]
        conftest.wait_for(lambda: engine_endpoint.engine.running)
        drained = pool.submit(deployment.host.drain)
        conftest.wait_for(lambda: deployment.host.application.draining)
        samples = [future.result() for future in running]
        assert drained.result()
    assert all(sample.complete and sample.correct for sample in samples)


def test_results_of_a_job_survive_a_restart(deployment, engine_endpoint):
    """Guards against items that are accepted and lost in a restart."""
    job_id = create_job(deployment, 12)
    wait_completed(deployment, job_id)
    deployment.host.close()
    deployment.start()
    status, data = request(deployment, 'GET', f'/v1/batches/{job_id}/results')
    rows = [json.loads(line) for line in data.splitlines()]
    assert status == 200
    assert sorted(row['custom_id'] for row in rows) == sorted(
        f'item-{number}' for number in range(12)
    )


def test_revoked_key_is_refused_with_its_result_code(
    deployment, engine_endpoint
):
    """Guards against a key that still works after its revocation."""
    deployment.change(model.RevokeKey('key-1'))
    conftest.wait_for(lambda: send(deployment).status == 401)
    sample = send(deployment)
    assert (sample.code, sample.not_run) == (112, True)


def test_host_with_expired_configuration_is_not_ready(
    deployment, engine_endpoint
):
    """Guards against a load balancer that keeps using an isolated host."""
    assert request(deployment, 'GET', '/readyz')[0] == 200
    deployment.host.watcher.close()
    conftest.wait_for(lambda: request(deployment, 'GET', '/readyz')[0] == 503)
    assert send(deployment).code == 114


def test_malformed_announcement_is_refused(deployment):
    """Guards against a traceback for a malformed announcement."""
    status, data = request(
        deployment, 'POST', '/internal/announce', '{"endpoint_id": 5}'
    )
    assert status == 400
    assert json.loads(data)['error']['code'] == 100


def test_evacuation_holds_over_a_restart_until_it_ends(
    deployment, engine_endpoint
):
    """Guards against an evacuated zone that opens when its host restarts."""
    deployment.change(model.StartEvacuation('zone-1'))
    deployment.host.close()
    deployment.start()
    registry = deployment.host.registry
    conftest.wait_for(lambda: registry.get('engine-1'))
    assert not registry.usable('rota', clock.monotonic())
    (endpoint,) = deployment.host.provider.list_endpoints(clock.monotonic())
    assert endpoint.evacuated
    deployment.change(model.EndEvacuation('zone-1'))
    conftest.wait_for(lambda: send(deployment).status == 200)
