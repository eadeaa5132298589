"""Tests of the executor against a scripted endpoint."""


class ListSink:
    """Keeps what is written."""

    def __init__(self):
        self.data = b''

    def write(self, data):
        """Keep bytes."""
        self.data += data
        return True


def get_tokens(data):
    """Return the tokens in a stream."""
    return [
        int(line.split(b'"content": "t')[1].split(b' ')[0])
        for line in data.split(b'\n\n')
        if b'"content"' in line
    ]


def test_stream_is_relayed_whole(start_endpoint, start_executor, make_call):
    """Guards against lost bytes in the plain path of a stream."""
    endpoint = start_endpoint(lambda request: request.stream(50))
    executor = start_executor(endpoint)
    sink = ListSink()
    result = executor.execute(make_call(), sink)
    assert result.status == 200 and result.tokens == 50
    assert get_tokens(sink.data) == list(range(50))
    assert sink.data == result.body and sink.data.endswith(b'[DONE]\n\n')
    assert executor.scheduler.statuses() == ['completed']
    request = endpoint.requests[0]
    assert request.headers['x-request-id'] == 'r1'
    assert 0 < int(request.headers['x-deadline-ms']) <= 20000


def test_plain_answer(start_endpoint, start_executor, make_call):
    """Guards against a changed status or body of a plain answer."""
    endpoint = start_endpoint(lambda request: request.answer(b'{"a":1}', 404))
    result = start_executor(endpoint).execute(make_call(stream=False))
    assert (result.status, result.body) == (404, b'{"a":1}')
