"""Load generator: sends online requests on schedule and verifies answers."""

import concurrent.futures
import dataclasses
import http.client
import itertools
import json
import threading
import time

from rhubarbreach.emulator import tokens

__all__ = ['Arrival', 'LoadRunner', 'Sample', 'make_arrivals', 'send_request']

DEFAULT_TIMEOUT_SECONDS = 60.0
MAX_CONNECT_ATTEMPTS = 3
READ_BYTES = 65536
EVENT_PREFIX = b'data: '
DONE = b'[DONE]'


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Request and the time at which it is sent.

    Parameters
    ----------
    at : float
        Seconds after the start of the run.
    account_id, key : str
        Client account and its key.
    path, prompt : str
        Path of the request and its prompt.
    max_tokens : int
        Number of tokens of the answer.
    stream : bool
        Whether the answer is streamed.
    idempotency_key : str
        Value of the header Idempotency-Key, which is not sent if empty.
    """

    at: float
    account_id: str
    key: str
    path: str
    prompt: str
    max_tokens: int
    stream: bool = True
    idempotency_key: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Outcome of one request as its caller saw it; times in seconds.

    Parameters
    ----------
    arrival : Arrival
        Request that was sent.
    sent_at : float
        Scheduled time on the monotonic clock. Latencies count from it, so
        that a delayed sender does not hide a slow system.
    status : int
        HTTP status, 0 for a broken connection.
    code : int
        Result code of a refusal, 0 otherwise.
    not_run : object
        True, False or `unknown` for a refusal, None otherwise.
    first_token, total : float
        Latency to the first token and to the end of the response.
    tokens : int
        Number of tokens received.
    complete, correct : bool
        Whether the answer was received to its end, and whether all its
        tokens are as expected.
    request_id : str
        X-Request-Id of the response.
    detail : str
        Reason of a failure.
    """

    arrival: Arrival
    sent_at: float
    status: int
    code: int = 0
    not_run: object = None
    first_token: float = 0.0
    total: float = 0.0
    tokens: int = 0
    complete: bool = False
    correct: bool = False
    request_id: str = ''
    detail: str = ''


def make_arrivals(account, key, model_path, seconds, rate, random, **fields):
    """Return requests of a Poisson process with a given rate.

    Parameters
    ----------
    account : str
        Client account.
    key : str
        Its key.
    model_path : str
        Path of the requests.
    seconds : float
        Length of the run.
    rate : float
        Mean requests per second.
    random : random.Random
        Random generator for times and prompts.
    **fields
        Further fields of `Arrival`.

    Returns
    -------
    list of Arrival
        Sorted by time.
    """
    arrivals = []
    at = random.expovariate(rate)
    while at < seconds:
        prompt = f'{account} rota for week {random.randrange(10**9)}'
        arrivals.append(
            Arrival(at, account, key, model_path, prompt, **fields)
        )
        at += random.expovariate(rate)
    return arrivals


def connect(pick):
    """Return a connection to the first host that accepts one."""
    error = None
    for _ in range(MAX_CONNECT_ATTEMPTS):
        connection = http.client.HTTPConnection(
            pick(), timeout=DEFAULT_TIMEOUT_SECONDS
        )
        try:
            connection.connect()
            return connection
        except OSError as failure:
            error = failure
    raise error


def make_body(arrival, model_id):
    """Return the JSON body of a request."""
    return json.dumps(
        {
            'model': model_id,
            'prompt': arrival.prompt,
            'max_tokens': arrival.max_tokens,
            'stream': arrival.stream,
        }
    )


def make_headers(arrival):
    """Return the headers of a request."""
    headers = {'Content-Type': 'application/json'}
    if arrival.key:
        headers['Authorization'] = f'Bearer {arrival.key}'
    if arrival.idempotency_key:
        headers['Idempotency-Key'] = arrival.idempotency_key
    return headers


def send_request(pick, arrival, model_id, sent_at):
    """Send one request and verify the answer.

    Parameters
    ----------
    pick : callable
        Returns the `IP:port` of an entry host.
    arrival : Arrival
        Request to send.
    model_id : str
        Model.
    sent_at : float
        Scheduled time on the monotonic clock.

    Returns
    -------
    Sample
        Outcome of the request.
    """
    try:
        connection = connect(pick)
    except OSError as error:
        return Sample(arrival, sent_at, 0, detail=f'connect: {error}')
    try:
        connection.request(
            'POST',
            arrival.path,
            make_body(arrival, model_id),
            make_headers(arrival),
        )
        response = connection.getresponse()
        return read_response(response, arrival, sent_at)
    except (OSError, http.client.HTTPException) as error:
        return Sample(arrival, sent_at, 0, detail=repr(error))
    finally:
        connection.close()


def read_response(response, arrival, sent_at):
    """Return the sample of a response."""
    request_id = response.headers.get('X-Request-Id', '')
    if response.status != http.HTTPStatus.OK:
        return read_refusal(response, arrival, sent_at, request_id)
    if arrival.stream:
        return read_stream(response, arrival, sent_at, request_id)
    answer = json.loads(response.read())
    content = answer['choices'][0]['message']['content']
    now = time.monotonic()
    expected_tokens = [
        tokens.make_token(arrival.prompt, index)
        for index in range(arrival.max_tokens)
    ]
    return Sample(
        arrival,
        sent_at,
        response.status,
        first_token=now - sent_at,
        total=now - sent_at,
        tokens=arrival.max_tokens,
        complete=True,
        correct=content == ''.join(expected_tokens),
        request_id=request_id,
    )


def read_refusal(response, arrival, sent_at, request_id):
    """Return the sample of a refusal."""
    data = response.read()
    try:
        error = json.loads(data)['error']
        code, not_run = error['code'], error['not_run']
        reason = error['reason']
    except (ValueError, KeyError, TypeError):
        code, not_run, reason = -1, None, data[:80].decode('utf-8', 'replace')
    return Sample(
        arrival,
        sent_at,
        response.status,
        code,
        not_run,
        total=time.monotonic() - sent_at,
        request_id=request_id,
        detail=reason,
    )


def read_lines(response):
    """Yield the lines of a response.

    It uses read1(), because readline() does not raise if the connection is
    closed within the response.
    """
    buffered = b''
    while data := response.read1(READ_BYTES):
        *lines, buffered = (buffered + data).split(b'\n')
        yield from lines


def read_stream(response, arrival, sent_at, request_id):
    """Return the sample of a stream of server-sent events."""
    first_token = 0.0
    received = []
    complete = False
    detail = ''
    try:
        for line in read_lines(response):
            if not line.startswith(EVENT_PREFIX):
                continue
            if not received:
                first_token = time.monotonic() - sent_at
            data = line[len(EVENT_PREFIX) :].strip()
            if data == DONE:
                complete = True
                continue
            event = json.loads(data)
            if 'error' in event:
                detail = json.dumps(event['error'])
                continue
            received.append(event['choices'][0]['delta']['content'])
    except (OSError, ValueError, http.client.HTTPException) as error:
        detail = repr(error)
    expected = [
        tokens.make_token(arrival.prompt, index)
        for index in range(arrival.max_tokens)
    ]
    return Sample(
        arrival,
        sent_at,
        response.status,
        first_token=first_token,
        total=time.monotonic() - sent_at,
        tokens=len(received),
        complete=complete,
        correct=received == expected,
        request_id=request_id,
        detail=detail,
    )


class LoadRunner:
    """Thread pool that sends requests at their scheduled times.

    Parameters
    ----------
    pick : callable
        Returns the `IP:port` of an entry host.
    model_id : str
        Model.
    workers : int
        Largest number of requests in flight.
    """

    def __init__(self, pick, model_id, workers=256):
        self.pick = pick
        self.model_id = model_id
        self.executor = concurrent.futures.ThreadPoolExecutor(workers)
        self.stopped = threading.Event()

    def run(self, *schedules):
        """Send all requests and return their samples.

        Parameters
        ----------
        *schedules : list of Arrival
            Schedules that are merged by time.

        Returns
        -------
        list of Sample
            Samples in the order of the scheduled times.
        """
        start = time.monotonic()
        futures = []
        arrivals = sorted(
            itertools.chain(*schedules), key=lambda arrival: arrival.at
        )
        for arrival in arrivals:
            wait = start + arrival.at - time.monotonic()
            if wait > 0 and self.stopped.wait(wait):
                break
            futures.append(
                self.executor.submit(
                    send_request,
                    self.pick,
                    arrival,
                    self.model_id,
                    start + arrival.at,
                )
            )
        return [future.result() for future in futures]

    def close(self):
        """Stop sending and wait for the requests in flight."""
        self.stopped.set()
        self.executor.shutdown()
