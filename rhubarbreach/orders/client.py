"""HTTP client that sends orders to endpoints."""

import io

import msgspec
import pycurl

from rhubarbreach import codes
from rhubarbreach import exceptions
from rhubarbreach.orders import model
from rhubarbreach import serialization

__all__ = ['ORDER_TIMEOUT_SECONDS', 'read_state', 'send_order']

# After this timeout, an endpoint may still execute the order for the same
# time again. The next holder of the lease therefore waits for twice this time.
ORDER_TIMEOUT_SECONDS = 2.0

MILLISECONDS_PER_SECOND = 1000
HTTP_OK = 200
STATE_DECODER = msgspec.json.Decoder(model.EndpointState)
HTTP_CONFLICT = 409


def exchange(method, url, body=None):
    """Return the status and the body of an HTTP response, or a `Refusal`."""
    output = io.BytesIO()
    handle = pycurl.Curl()
    try:
        handle.setopt(pycurl.URL, url)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(
            pycurl.TIMEOUT_MS,
            int(ORDER_TIMEOUT_SECONDS * MILLISECONDS_PER_SECOND),
        )
        handle.setopt(pycurl.WRITEDATA, output)
        if method == 'POST':
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDS, body)
            header = 'Content-Type: application/json'
            handle.setopt(pycurl.HTTPHEADER, [header])
        handle.perform()
        return handle.getinfo(pycurl.RESPONSE_CODE), output.getvalue()
    except pycurl.error as error:
        ran = codes.Ran.UNKNOWN
        if error.args[0] == pycurl.E_COULDNT_CONNECT:
            ran = codes.Ran.NO
        return codes.Refusal(
            codes.ResultCode.ENDPOINT_FAILED, str(error.args[1]), ran
        )
    finally:
        handle.close()


def make_body(order):
    """Return the JSON body of an order."""
    fields = {'order_id': order.order_id, 'fencing': order.fencing}
    match order.action:
        case model.LoadModel(model_id, version):
            fields |= {'order': 'load', 'model': model_id}
            fields['version'] = version
        case model.UnloadModel(model_id):
            fields |= {'order': 'unload', 'model': model_id}
        case model.SetRole(role):
            fields |= {'order': 'role', 'role': role}
    return msgspec.json.encode(fields)


def parse_state(result):
    """Return the endpoint state in an HTTP response, or a `Refusal`."""
    if isinstance(result, codes.Refusal):
        return result
    status, body = result
    if status == HTTP_CONFLICT:
        return codes.Refusal(
            codes.ResultCode.ENDPOINT_REJECTED,
            'the endpoint rejected the fencing token',
        )
    if status != HTTP_OK:
        return codes.Refusal(
            codes.ResultCode.ENDPOINT_FAILED,
            f'the endpoint answered with HTTP status {status}',
            codes.Ran.UNKNOWN,
        )
    try:
        return serialization.decode_json(STATE_DECODER, body)
    except exceptions.MessageError as error:
        return codes.Refusal(
            codes.ResultCode.ENDPOINT_FAILED, str(error), codes.Ran.UNKNOWN
        )


def send_order(order):
    """Send an order and wait for its response.

    Parameters
    ----------
    order : model.Order
        Order under a lease that this host holds.

    Returns
    -------
    model.EndpointState or codes.Refusal
        State after the order, or ENDPOINT_REJECTED for a stale fencing token.
    """
    url = f'http://{order.address}/orders'
    return parse_state(exchange('POST', url, make_body(order)))


def read_state(address):
    """Return the state of an endpoint.

    Parameters
    ----------
    address : str
        `IP:port` of the endpoint.

    Returns
    -------
    model.EndpointState or codes.Refusal
        Current state.
    """
    url = f'http://{address}/orders/state'
    return parse_state(exchange('GET', url))
