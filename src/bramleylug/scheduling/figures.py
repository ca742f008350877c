"""Sizes of requests and speeds of engines, as far as they are stated."""

from typing import NamedTuple, final


@final
class RequestSize(NamedTuple):
    """How much work a request is for an engine.

    :ivar prompt_tokens: tokens that are read before the first event; 0 if
        unknown.
    :ivar answer_tokens: most tokens of its answer; 0 if unknown.
    :ivar expected_tokens: the caller's estimate of them, often far off; 0 if
        not given.
    """

    prompt_tokens: int = 0
    answer_tokens: int = 0
    expected_tokens: int = 0


@final
class EngineFigures(NamedTuple):
    """Nominal speed of the engines of a service.

    An engine works in passes. A pass reads prompts and, if any request is
    being answered, makes several tokens for each of these.

    :ivar step_s: time to make one token for each request that is answered.
    :ivar sequence_s: what each of these requests adds to it.
    :ivar context_token_s: what each token of their contexts adds to it.
    :ivar read_per_s: prompt tokens that are read a second; 0 if unknown.
    :ivar pair_s: time for each pair of a token that is read and an earlier
        one of its prompt.
    :ivar step_tokens: most prompt tokens that are read in one step.
    :ivar steps: steps of a pass in which requests are answered; an event of
        their streams has as many tokens.
    :ivar usual_prompt: mean tokens of a prompt.
    :ivar usual_answer: mean tokens of an answer.
    :ivar memory_tokens: tokens that an engine's memory holds; 0 if unknown.
    """

    step_s: float
    sequence_s: float
    context_token_s: float
    read_per_s: float
    pair_s: float
    step_tokens: int
    steps: int
    usual_prompt: float
    usual_answer: float
    memory_tokens: int


@final
class ScalingLimits(NamedTuple):
    """How many upstreams a service may have.

    :ivar minimum: in each availability zone.
    :ivar maximum: in each availability zone.
    :ivar boot_s: time from an order until a new upstream has started.
    """

    minimum: int
    maximum: int
    boot_s: float
