"""Decoding of chat and text completion requests."""

import msgspec

from rhubarbreach.dispatch import errors
from rhubarbreach import exceptions
from rhubarbreach import serialization

__all__ = ['CompletionFields', 'decode_completion', 'estimate_cost']

CHARACTERS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256


class CompletionFields(msgspec.Struct):
    """Fields of a completion request that the entry host uses.

    Parameters
    ----------
    model : str
        Name of the model.
    stream : bool or None
        Whether the response is a stream of events.
    max_tokens, max_completion_tokens : int or None
        Maximum length of the response in tokens.
    messages, prompt : object
        Prompt of a chat or text completion.
    resume_from : int or None
        Reserved for the endpoint protocol; callers may not send it.
    """

    model: str
    stream: bool | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    messages: list[dict[str, object]] | None = None
    prompt: object = None
    resume_from: object = None


DECODER = msgspec.json.Decoder(CompletionFields)


def decode_completion(body):
    """Decode the body of a completion request.

    Parameters
    ----------
    body : bytes
        JSON object.

    Returns
    -------
    CompletionFields or codes.Refusal
        Fields, or the reason why the body is refused.
    """
    try:
        body.decode('utf-8')
        fields = serialization.decode_json(DECODER, body)
    except UnicodeDecodeError:
        return errors.make_refusal(
            'MALFORMED_BODY', 'the body is not valid UTF-8'
        )
    except exceptions.MessageError as error:
        return errors.make_refusal(
            'MALFORMED_BODY',
            f'the body is not a valid completion request: {error}',
        )
    if fields.resume_from is not None:
        return errors.make_refusal(
            'MALFORMED_BODY', 'the field resume_from is reserved'
        )
    if fields.messages is None and fields.prompt is None:
        return errors.make_refusal(
            'MALFORMED_BODY', 'the body has neither messages nor prompt'
        )
    return fields


def estimate_cost(fields, body):
    """Estimate the cost of a request in tokens.

    Parameters
    ----------
    fields : CompletionFields
        Decoded body.
    body : bytes
        Encoded body; its size is used to estimate the length of the prompt.
    """
    max_tokens = fields.max_tokens or fields.max_completion_tokens
    prompt = len(body) / CHARACTERS_PER_TOKEN
    return prompt + max(0, max_tokens or DEFAULT_MAX_TOKENS)
