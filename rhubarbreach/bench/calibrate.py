"""Reference measurements of endpoints that are called directly."""

import concurrent.futures
import http.client
import json
import statistics
import threading
import time

__all__ = ['CompletionCaller', 'measure_capacity', 'measure_latencies']

CAPACITY_SECONDS = 4.0
WARM_UP_SECONDS = 1.0
CAPACITY_TOKENS = 64
PROBE_TOKENS = 1
TIMEOUT_SECONDS = 60.0
MAX_RATE_ATTEMPTS = 50
RATE_RETRY_SECONDS = 0.1


class CompletionCaller:
    """Caller that sends all requests over one persistent connection.

    Parameters
    ----------
    address : str
        `IP:port` of an endpoint or an entry host.
    key : str
        Key for an entry host, empty for an endpoint.
    """

    def __init__(self, address, key=''):
        self.connection = http.client.HTTPConnection(
            address, timeout=TIMEOUT_SECONDS
        )
        self.headers = {'Content-Type': 'application/json'}
        if key:
            self.headers['Authorization'] = f'Bearer {key}'

    def complete(self, model_id, prompt, max_tokens):
        """Send one completion without streaming; return its latency.

        A request that exceeds the rate is sent again, and only the last
        attempt is timed: with static local limits, one host admits only a
        fraction of the account's rate.

        Returns
        -------
        float
            Seconds.
        """
        body = json.dumps(
            {'model': model_id, 'prompt': prompt, 'max_tokens': max_tokens}
        )
        for _ in range(MAX_RATE_ATTEMPTS):
            start = time.monotonic()
            status = self.exchange(body)
            if status != http.HTTPStatus.TOO_MANY_REQUESTS:
                break
            time.sleep(RATE_RETRY_SECONDS)
        if status != http.HTTPStatus.OK:
            raise RuntimeError(
                f'completion answered with HTTP status {status}'
            )
        return time.monotonic() - start

    def exchange(self, body):
        """Send a body and read the whole response; return the status."""
        self.connection.request('POST', '/v1/completions', body, self.headers)
        response = self.connection.getresponse()
        response.read()
        return response.status


def read_tokens(address):
    """Return the number of tokens that an endpoint has generated."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
    connection.request('GET', '/stats')
    return json.loads(connection.getresponse().read())['tokens']


def measure_capacity(addresses, model_id, slots):
    """Return the token throughput of engines with all slots occupied.

    Parameters
    ----------
    addresses : list of str
        `IP:port` of the engines.
    model_id : str
        Model.
    slots : int
        Requests that an engine runs at the same time.

    Returns
    -------
    float
        Tokens per second of all engines together.
    """
    stop = threading.Event()

    def keep_busy(address, number):
        caller = CompletionCaller(address)
        while not stop.is_set():
            caller.complete(model_id, f'capacity {number}', CAPACITY_TOKENS)

    with concurrent.futures.ThreadPoolExecutor(256) as pool:
        futures = [
            pool.submit(keep_busy, address, number)
            for address in addresses
            for number in range(slots)
        ]
        time.sleep(WARM_UP_SECONDS)
        before = sum(read_tokens(address) for address in addresses)
        start = time.monotonic()
        time.sleep(CAPACITY_SECONDS)
        after = sum(read_tokens(address) for address in addresses)
        seconds = time.monotonic() - start
        stop.set()
        for future in futures:
            future.result()
    return (after - before) / seconds


def measure_latencies(direct, relayed, model_id, count):
    """Return the latencies of equal requests that alternate between paths.

    Parameters
    ----------
    direct, relayed : CompletionCaller
        Callers of an endpoint and of an entry host.
    model_id : str
        Model.
    count : int
        Number of requests on each path.

    Returns
    -------
    tuple of list of float
        Latencies in seconds on the direct path and through the entry host.
    """
    latencies = ([], [])
    for number in range(count):
        for path, caller in enumerate((direct, relayed)):
            prompt = f'overhead {number}'
            latencies[path].append(
                caller.complete(model_id, prompt, PROBE_TOKENS)
            )
    return latencies


def subtract_quantiles(latencies, fraction):
    """Return how much a quantile differs between the paths.

    Parameters
    ----------
    latencies : tuple of list of float
        Result of `measure_latencies`.
    fraction : float
        Quantile between 0 and 1.

    Returns
    -------
    float
        Milliseconds that the entry host adds.
    """
    index = max(0, round(fraction * 100) - 1)
    direct, relayed = (
        statistics.quantiles(values, n=100)[index] for values in latencies
    )
    return (relayed - direct) * 1000
