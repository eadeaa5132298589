"""Sending of orders to endpoints over HTTP."""

import io

import msgspec
import pycurl

from rhubarbreach import codes
from rhubarbreach.orders import model

__all__ = ['ORDER_TIMEOUT', 'read_state', 'send_order']

# An order that was not answered after this time may still be carried out
# for as long again, so a new orderer waits for it.
ORDER_TIMEOUT = 2.0

MILLISECONDS = 1000
HTTP_OK = 200
HTTP_CONFLICT = 409


def exchange(method, url, body=None):
    """Return status and body of an HTTP exchange, or a `Refusal`."""
    output = io.BytesIO()
    handle = pycurl.Curl()
    try:
        handle.setopt(pycurl.URL, url)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.TIMEOUT_MS, int(ORDER_TIMEOUT * MILLISECONDS))
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
    """Return the state in an answer, or a `Refusal`."""
    if isinstance(result, codes.Refusal):
        return result
    status, body = result
    if status == HTTP_CONFLICT:
        return codes.Refusal(
            codes.ResultCode.ENDPOINT_REJECTED,
            'the endpoint refused the fencing number',
        )
    if status != HTTP_OK:
        return codes.Refusal(
            codes.ResultCode.ENDPOINT_FAILED,
            f'the endpoint answered with status {status}',
            codes.Ran.UNKNOWN,
        )
    try:
        return msgspec.json.decode(body, type=model.EndpointState)
    except msgspec.DecodeError as error:
        return codes.Refusal(
            codes.ResultCode.ENDPOINT_FAILED, str(error), codes.Ran.UNKNOWN
        )


def send_order(order):
    """Send an order and wait for the answer.

    Parameters
    ----------
    order : model.Order
        Order under a lease that the caller holds.

    Returns
    -------
    model.EndpointState or codes.Refusal
        State after the order; ENDPOINT_REJECTED for an old fencing number.
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
        State now.
    """
    url = f'http://{address}/orders/state'
    return parse_state(exchange('GET', url))
