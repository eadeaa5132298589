"""State of a running attempt and the options of its curl handle."""

import concurrent.futures

import msgspec
import pycurl

from rhubarbreach.dispatch import attempt as attempt_module
from rhubarbreach import exceptions
from rhubarbreach import serialization
from rhubarbreach.web import answers
from rhubarbreach.web import parse

__all__ = ['Transfer', 'configure_handle']

# A longer body of a response that is not a stream ends the attempt as broken.
MAX_BODY_BYTES = 64 << 20
CONNECT_TIMEOUT_MS = 1000
ATTEMPT_HEADER = 'x-attempt-id'
EVENT_STREAM = 'text/event-stream'
MAX_LENGTH_DIGITS = 18


CLIENT_ERROR = 400


class ErrorFields(msgspec.Struct):
    """Members of the body of an error response."""

    not_run: bool = False


DECODER = msgspec.json.Decoder(ErrorFields)


class Transfer:
    """Running attempt; used by the event loop thread only.

    Parameters
    ----------
    attempt : attempt.Attempt
        Request to send.
    unprocessed : list
        Shared list of the transfers with received bytes; this object adds
        itself.
    now : float
        Monotonic seconds.
    holding : Holding
        Counts the bytes of the body.
    """

    def __init__(self, attempt, unprocessed, now, holding):
        self.attempt = attempt
        self.unprocessed = unprocessed
        self.future = concurrent.futures.Future()
        self.curl = None
        self.header_lines = []
        self.is_head_complete = False
        self.status = 0
        self.headers = {}
        self.chunks = []
        self.body = answers.Body(holding, MAX_BODY_BYTES)
        self.relay = None
        self.paused = False
        self.started_at = now
        self.first_byte_at = None
        self.received_at = now
        self.linger_until = None
        self.sent = False

    def receive(self, data):
        """Buffer bytes of the body until the loop processes them."""
        chunks = self.chunks
        if not chunks:
            self.unprocessed.append(self)
        chunks.append(data)

    def receive_header(self, line):
        """Add a header line; a status line discards the previous ones.

        Trailers, which follow the body, are ignored.
        """
        if line.startswith(b'HTTP/'):
            self.header_lines.clear()
            self.is_head_complete = False
        if self.is_head_complete:
            return
        self.header_lines.append(line)
        self.is_head_complete = not line.strip()

    def record_sent(self):
        """Record whether bytes of the request were sent."""
        self.sent = self.curl.getinfo(pycurl.REQUEST_SIZE) > 0

    def parse_head(self):
        """Parse status line and headers unless done before."""
        if self.status or not self.header_lines:
            return
        self.status = int(self.header_lines[0].split(None, 2)[1])
        for line in self.header_lines[1:]:
            name, _, value = line.decode('latin-1').partition(':')
            self.headers[name.strip().lower()] = value.strip()
        if self.status == 200 and self.content_type.startswith(EVENT_STREAM):
            self.relay = self.attempt.relay

    @property
    def content_type(self):
        """Content type of the response."""
        return self.headers.get('content-type', '')

    def is_whole(self):
        """Return whether a response that libcurl accepts is complete.

        libcurl takes the end of a connection within a head for the end of the
        response, and ignores a length that is out of range.
        """
        length = self.headers.get('content-length', '0')
        return (
            self.is_head_complete
            and parse.FIRST_FINAL_STATUS <= self.status <= parse.LAST_STATUS
            and length.isdigit()
            and len(length) <= MAX_LENGTH_DIGITS
        )

    def judge_end(self):
        """Judge the end of a response that is no stream."""
        if not self.is_whole():
            return answers.Judgement(answers.End.BROKEN, 'incomplete response')
        return self.body.judge_end(self.is_delimited())

    def is_delimited(self):
        """Return whether the response does not end with its connection."""
        return (
            'content-length' in self.headers
            or 'transfer-encoding' in self.headers
            or self.attempt.method == 'HEAD'
            or self.status in answers.EMPTY_STATUSES
        )

    def is_mismatched(self):
        """Return whether the attempt id of the response is wrong or missing.

        A missing id counts only if the attempt requires an id and the status
        is 200.
        """
        echoed = self.headers.get(ATTEMPT_HEADER)
        if echoed is None:
            return self.attempt.echo and self.status == 200
        return echoed != self.attempt.attempt_id

    def says_not_run(self):
        """Return whether an error response reports `not_run`.

        On a connection that was used before, a report without an attempt id
        may be about an earlier attempt.
        """
        if not CLIENT_ERROR <= self.status <= parse.LAST_STATUS:
            return False
        if self.attempt.reuse and ATTEMPT_HEADER not in self.headers:
            return False
        try:
            return serialization.decode_json(DECODER, self.body.join()).not_run
        except exceptions.MessageError:
            return False

    def make_result(self, end, detail=''):
        """Return the result of the attempt."""
        first = self.first_byte_at
        return attempt_module.AttemptResult(
            end=end,
            status=self.status,
            content_type=self.content_type,
            body=bytes(self.body.join()),
            relayed=self.relay is not None,
            sent=self.sent,
            not_run=self.says_not_run(),
            detail=detail,
            first_byte=None if first is None else first - self.started_at,
            is_delimited=self.is_delimited(),
        )


def configure_handle(curl, transfer):
    """Set the options of the curl handle of an attempt.

    Parameters
    ----------
    curl : pycurl.Curl
        New handle, or one that was reset.
    transfer : Transfer
        Attempt to send.
    """
    attempt = transfer.attempt
    transfer.curl = curl
    curl.transfer = transfer
    curl.setopt(pycurl.URL, f'http://{attempt.address}{attempt.path}')
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.HTTPHEADER, ['Expect:', *attempt.headers])
    if attempt.method == 'HEAD':
        curl.setopt(pycurl.NOBODY, 1)
    elif attempt.body or attempt.method == 'POST':
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDSIZE, len(attempt.body))
        curl.setopt(pycurl.COPYPOSTFIELDS, attempt.body)
    if attempt.method not in ('HEAD', 'POST'):
        curl.setopt(pycurl.CUSTOMREQUEST, attempt.method)
    if not attempt.reuse:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.HEADERFUNCTION, transfer.receive_header)
    curl.setopt(pycurl.WRITEFUNCTION, transfer.receive)
