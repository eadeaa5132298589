"""Caller of the batch API that sends jobs and verifies their results."""

import dataclasses
import http.client
import json
import time

from rhubarbreach.emulator import tokens

__all__ = ['JobCaller', 'JobReport', 'make_items']

TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.3
RUNNING = 'running'
MAX_ATTEMPTS = 8
RETRIED_STATUSES = (
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)


@dataclasses.dataclass(frozen=True, slots=True)
class JobReport:
    """Outcome of one job, as its results show it.

    Parameters
    ----------
    job_id, status : str
        Job and its last status.
    sent, done, failed : int
        Numbers of items.
    violations : tuple of str
        One line for each missing, duplicate or wrong result.
    seconds : float
        Time from the upload to the reading of the results.
    """

    job_id: str
    status: str
    sent: int
    done: int
    failed: int
    violations: tuple[str, ...]
    seconds: float


def make_items(name, count, model_id, max_tokens, failing=()):
    """Return the request bodies of items by custom id.

    Parameters
    ----------
    name : str
        Prefix of the prompts, different for each job.
    count : int
        Number of items.
    model_id : str
        Model.
    max_tokens : int
        Number of tokens of each answer.
    failing : iterable of int
        Numbers of the items that every endpoint rejects.

    Returns
    -------
    dict of str to dict
        Body of each item.
    """
    items = {}
    for number in range(count):
        prompt = f'{name} sheet {number}'
        if number in failing:
            prompt += ' fail-request'
        items[f'item-{number}'] = {
            'model': model_id,
            'prompt': prompt,
            'max_tokens': max_tokens,
        }
    return items


class JobCaller:
    """Caller of the batch routes.

    Parameters
    ----------
    pick : callable
        Returns the `IP:port` of an entry host.
    key : str
        Key of the account.
    """

    def __init__(self, pick, key):
        self.pick = pick
        self.key = key

    def request(self, method, path, body=None, **headers):
        """Return status and body; retry on another host after a failure."""
        headers = {'Authorization': f'Bearer {self.key}', **headers}
        error = None
        for _ in range(MAX_ATTEMPTS):
            connection = http.client.HTTPConnection(
                self.pick(), timeout=TIMEOUT_SECONDS
            )
            try:
                connection.request(method, path, body, headers)
                response = connection.getresponse()
                data = response.read()
                if response.status not in RETRIED_STATUSES:
                    return response.status, data
                error = RuntimeError(data.decode('utf-8', 'replace'))
            except (OSError, http.client.HTTPException) as failure:
                error = failure
            finally:
                connection.close()
            time.sleep(POLL_SECONDS)
        raise error

    def create(self, client_id, items, path='/v1/completions'):
        """Upload a job; return its id."""
        lines = [
            json.dumps(
                {
                    'custom_id': custom_id,
                    'method': 'POST',
                    'url': path,
                    'body': body,
                }
            )
            for custom_id, body in items.items()
        ]
        status, data = self.request(
            'POST',
            '/v1/batches',
            '\n'.join(lines),
            **{'Idempotency-Key': client_id},
        )
        if status != http.HTTPStatus.OK:
            raise RuntimeError(
                f'job refused with HTTP status {status}: {data!r}'
            )
        return json.loads(data)['id']

    def show(self, job_id):
        """Return the description of a job."""
        _, data = self.request('GET', f'/v1/batches/{job_id}')
        return json.loads(data)

    def cancel(self, job_id):
        """Cancel a job."""
        self.request('POST', f'/v1/batches/{job_id}/cancel')

    def wait(self, job_id, deadline):
        """Wait until a job ends or a deadline passes.

        Returns
        -------
        dict
            Description of the job at that time.
        """
        while True:
            description = self.show(job_id)
            if description['status'] != RUNNING or time.monotonic() > deadline:
                return description
            time.sleep(POLL_SECONDS)

    def read_report(self, job_id, items, started_at):
        """Read all results of a job and compare them with its items.

        Parameters
        ----------
        job_id : str
            Job.
        items : dict of str to dict
            Bodies that were sent.
        started_at : float
            Monotonic time of the upload.

        Returns
        -------
        JobReport
            Outcome of the job.
        """
        description = self.show(job_id)
        seconds = time.monotonic() - started_at
        _, data = self.request('GET', f'/v1/batches/{job_id}/results')
        rows = [json.loads(line) for line in data.splitlines()]
        rows_by_id = {}
        violations = []
        for row in rows:
            custom_id = row.get('custom_id', '')
            if custom_id in rows_by_id or custom_id not in items:
                violations.append(
                    f'{job_id} {custom_id}: duplicate or unknown result'
                )
            rows_by_id[custom_id] = row
        violations += [
            f'{job_id} {custom_id}: no result'
            for custom_id in items
            if custom_id not in rows_by_id
        ]
        done = [row for row in rows_by_id.values() if row['status'] == 'done']
        violations += [
            f'{job_id} {row["custom_id"]}: wrong answer'
            for row in done
            if not is_correct(items[row['custom_id']], row)
        ]
        return JobReport(
            job_id,
            description['status'],
            len(items),
            len(done),
            len(rows_by_id) - len(done),
            tuple(violations),
            seconds,
        )


def is_correct(body, row):
    """Return whether a result is the complete answer to its item."""
    content = row['response']['body']['choices'][0]['message']['content']
    expected_tokens = [
        tokens.make_token(body['prompt'], index)
        for index in range(body['max_tokens'])
    ]
    return content == ''.join(expected_tokens)
