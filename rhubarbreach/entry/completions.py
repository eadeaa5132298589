"""Bodies of chat and text completions, as far as they matter here."""

import msgspec

from rhubarbreach.dispatch import errors

__all__ = ['CompletionFields', 'decode_completion', 'estimate_cost']

CHARACTERS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256


class CompletionFields(msgspec.Struct):
    """Members of a body that decide how it is run.

    Parameters
    ----------
    model : str
        Name of the model.
    stream : bool or None
        Whether the answer is a stream of events.
    max_tokens, max_completion_tokens : int or None
        Bound of the answer in tokens.
    messages, prompt : object
        Prompt of a chat or text completion.
    resume_from : int or None
        Belongs to the endpoint protocol; callers may not send it.
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
    """Return the fields of a body, or a refusal.

    Parameters
    ----------
    body : bytes
        JSON object.

    Returns
    -------
    CompletionFields or codes.Refusal
        Fields, or what is wrong with the body.
    """
    try:
        body.decode('utf-8')
        fields = DECODER.decode(body)
    except UnicodeDecodeError:
        return errors.make_refusal(
            'MALFORMED_BODY', 'the body is not valid UTF-8'
        )
    except msgspec.DecodeError as error:
        return errors.make_refusal(
            'MALFORMED_BODY', f'the body is not as expected: {error}'
        )
    if fields.resume_from is not None:
        return errors.make_refusal(
            'MALFORMED_BODY', 'the member resume_from is reserved'
        )
    if fields.messages is None and fields.prompt is None:
        return errors.make_refusal(
            'MALFORMED_BODY', 'the body has neither messages nor prompt'
        )
    return fields


def estimate_cost(fields, body):
    """Return the estimated cost of a request in tokens.

    Parameters
    ----------
    fields : CompletionFields
        Decoded body.
    body : bytes
        Body, whose length stands for the length of the prompt.
    """
    answer = fields.max_tokens or fields.max_completion_tokens
    prompt = len(body) / CHARACTERS_PER_TOKEN
    return prompt + max(0, answer or DEFAULT_MAX_TOKENS)
