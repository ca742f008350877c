"""What a request and an answer say, whatever headers they say it in."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol, final

from bramleylug.web.client import AnswerHead
from bramleylug.web.exchange import Exchange

HeaderPair = tuple[str, str]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """One try of a caller.

    :ivar deadline_s: time its caller waits, from its arrival; ``None``
        where it names none.
    :ivar api_key: credentials; empty where it has none.
    :ivar model: model it is for; empty for none.
    :ivar token_count: tokens that it may take at an engine; 0 if unknown.
    :ivar resume_after: last event that its caller has; empty for none.
    :ivar forwarded_headers: headers that are passed on as they came.
    """

    request_id: str
    method: str
    host: str
    path: str
    query: str
    body: bytes
    deadline_s: float | None
    api_key: str
    model: str
    token_count: int
    resume_after: str
    forwarded_headers: tuple[HeaderPair, ...]

    @property
    def target(self) -> str:
        """Path with its query."""
        return f'{self.path}?{self.query}' if self.query else self.path


class RequestMetadata(NamedTuple):
    """What an upstream is told beside the request itself.

    :ivar upstream_id: the only upstream that may run it.
    :ivar workspace: name of the customer; empty for a public route.
    :ivar deadline_s: time left.
    :ivar urgency: 0 is the most urgent.
    :ivar version: weights it must run on; 0 for any.
    :ivar resume_after: last event that was passed on; empty for none.
    """

    upstream_id: str
    workspace: str
    deadline_s: float
    urgency: int
    version: int
    resume_after: str


class AnswerMetadata(NamedTuple):
    """What an upstream says with its answer.

    :ivar request_id: request that it answers.
    :ivar not_run: whether it says that the request did not run.
    :ivar signed: whether an engine made the answer.
    :ivar encoded: whether the body is not the engine's own bytes.
    :ivar keep_alive_s: time it keeps an idle connection; ``None`` if not said.
    :ivar closes_connection: whether the connection ends after the answer.
    :ivar cold_for_s: time for which it stays cold; 0 when it is not.
    """

    request_id: str
    not_run: bool
    signed: bool
    encoded: bool
    keep_alive_s: float | None
    closes_connection: bool
    cold_for_s: float


class Dialect(Protocol):
    """Reads and writes the headers of one platform."""

    def read_request(self, exchange: Exchange) -> CallerRequest:
        """Read a caller's request."""

    def write_request(
        self, request: CallerRequest, metadata: RequestMetadata
    ) -> list[HeaderPair]:
        """Return the headers of a request to an upstream."""

    def read_answer(self, head: AnswerHead) -> AnswerMetadata:
        """Read what an upstream says with its answer."""

    def write_answer(self, head: AnswerHead) -> list[HeaderPair]:
        """Return the headers of an answer that is passed on."""
