"""Estimate of what a request would get, and cause, at an engine.

An engine works in passes. A pass reads the prompts that wait and makes some
tokens for each request that is being answered, so that all of them wait while
a prompt is read. The estimate follows the engine's nominal figures, its load
and its pace; it needs no state of its own.
"""

from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple, final

from bramleylug.scheduling.figures import EngineFigures, RequestSize

# On average a request arrives in the middle of a pass.
PASS_LEFT_SHARE = 0.5


@final
class WorkEstimate(NamedTuple):
    """What one request would get at one upstream if it were sent now.

    :ivar first_s: until its first event or its whole answer comes here.
    :ivar run_s: until its last event.
    :ivar pause_s: longest pause that it would cause to those that run there.
    """

    first_s: float
    run_s: float
    pause_s: float


@final
class EngineLoad(NamedTuple):
    """What an engine has to do, as far as a relay knows.

    :ivar slots: requests that it runs at a time.
    :ivar requests: requests that it has, with those that wait there.
    :ivar unread: those that this relay sent and whose prompts may not have
        been read.
    :ivar unread_tokens: tokens of these prompts.
    :ivar pace: how many times longer than nominal its work takes.
    """

    slots: int
    requests: float
    unread: int = 0
    unread_tokens: int = 0
    pace: float = 1.0


@final
@dataclass(frozen=True)
class EngineModel:
    """Times of the work of an engine with the given figures.

    All times are nominal unless a load with its pace is given.
    """

    figures: EngineFigures

    @cached_property
    def usual_passes(self) -> float:
        """Passes in which a usual request is answered."""
        return max(1.0, self.figures.usual_answer / self.figures.steps)

    @cached_property
    def usual_read_s(self) -> float:
        """Time in which a usual prompt is read."""
        return self.read_s(self.figures.usual_prompt)

    @cached_property
    def writer_s(self) -> float:
        """Time that each request which is answered adds to a step."""
        figures = self.figures
        context = figures.usual_prompt + figures.usual_answer / 2
        return figures.sequence_s + context * figures.context_token_s

    def read_s(self, tokens: float) -> float:
        """Return the time in which a prompt is read."""
        figures = self.figures
        if not figures.read_per_s:
            return 0.0
        pairs = tokens * tokens / 2
        return tokens / figures.read_per_s + pairs * figures.pair_s

    def write_s(self, writers: float) -> float:
        """Return the time of a pass that reads nothing."""
        step_s = self.figures.step_s + writers * self.writer_s
        return self.figures.steps * step_s

    def usual_pass_s(self, requests: float) -> float:
        """Return the time of a pass while as many requests come as go."""
        started = requests / self.usual_passes
        return self.write_s(requests) + started * self.usual_read_s

    def estimate(self, size: RequestSize, load: EngineLoad) -> WorkEstimate:
        """Return what a request would get at an engine with a load."""
        running = min(load.requests, load.slots)
        usual_s = self.usual_pass_s(running)
        next_s = usual_s + self._unread_s(size, load)
        left_s = PASS_LEFT_SHARE * usual_s if running else 0.0
        excess = max(0.0, load.requests + 1 - load.slots)
        queue_s = excess * self.usual_passes * usual_s / load.slots
        first_s = load.pace * (queue_s + left_s + next_s)
        passes = max(0.0, self._answer_tokens(size) / self.figures.steps - 1)
        run_s = first_s + load.pace * passes * self.usual_pass_s(running + 1)
        return WorkEstimate(first_s, run_s, load.pace * next_s)

    def _unread_s(self, size: RequestSize, load: EngineLoad) -> float:
        """Return the time to read the prompts of this relay and a new one."""
        prompt = size.prompt_tokens or self.figures.usual_prompt
        own_s = self.read_s(prompt)
        if not load.unread:
            return own_s
        return own_s + load.unread * self.read_s(
            load.unread_tokens / load.unread
        )

    def _answer_tokens(self, size: RequestSize) -> float:
        expected = size.expected_tokens or self.figures.usual_answer
        return min(expected, size.answer_tokens or expected)
