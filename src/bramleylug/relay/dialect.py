"""Requests and answers independent of the headers that a platform uses."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol, final

from bramleylug.scheduling.figures import RequestSize
from bramleylug.web.client_connection import AnswerHead
from bramleylug.web.exchange import Exchange

HeaderPair = tuple[str, str]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A request as received from a caller.

    :ivar deadline_s: time that the caller waits, counted from arrival;
        ``None`` if not given.
    :ivar api_key: credentials; empty if not given.
    :ivar model: requested model; empty if not given.
    :ivar size: how much work it is for an engine.
    :ivar prompt_parts: ids of the parts of its prompt in their order; all but
        the last may be parts of other requests, too.
    :ivar resume_after: id of the last event that the caller received; empty
        for none.
    :ivar forwarded_headers: headers that are sent to the upstream unchanged.
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
    resume_after: str
    forwarded_headers: tuple[HeaderPair, ...]
    prompt_parts: tuple[str, ...] = ()
    size: RequestSize = RequestSize()

    @property
    def target(self) -> str:
        """Path with its query."""
        return f'{self.path}?{self.query}' if self.query else self.path


class RequestMetadata(NamedTuple):
    """What the relay adds to a request that it sends to an upstream.

    :ivar upstream_id: the only upstream that may run the request.
    :ivar workspace: name of the workspace; empty for a public route.
    :ivar deadline_s: time left.
    :ivar urgency: 0 is the most urgent.
    :ivar version: version of the weights that it must run on; 0 for any.
    :ivar resume_after: id of the last forwarded event; empty for none.
    """

    upstream_id: str
    workspace: str
    deadline_s: float
    urgency: int
    version: int
    resume_after: str


class AnswerMetadata(NamedTuple):
    """Contents of the headers of an upstream's answer.

    :ivar request_id: id of the request that it answers; empty if not given.
    :ivar not_run: whether it states that the request was not run.
    :ivar signed: whether it carries the signature of an engine.
    :ivar encoded: whether the body has a content encoding, which an engine
        does not apply itself.
    :ivar keep_alive_s: time that an idle connection is kept; ``None`` if not
        given.
    :ivar closes_connection: whether the connection ends after the answer.
    :ivar cold_for_s: time for which the upstream stays cold; 0 if it is not.
    :ivar leaving: whether the upstream states that it is about to leave.
    :ivar pause_s: time for which an upstream that turned the request away
        wants nothing from this process; 0 if not given.
    :ivar names_limit: whether it names a rate limit.
    :ivar limit_per_s: requests a second that the upstream takes from all
        processes together; ``None`` if none is named or it is unreadable.
    """

    request_id: str
    not_run: bool
    signed: bool
    encoded: bool
    keep_alive_s: float | None
    closes_connection: bool
    cold_for_s: float
    leaving: bool = False
    pause_s: float = 0
    names_limit: bool = False
    limit_per_s: float | None = None


class Dialect(Protocol):
    """Reads and writes the HTTP headers of one platform."""

    def read_request(self, exchange: Exchange) -> CallerRequest:
        """Return the request of an exchange."""

    def write_request(
        self, request: CallerRequest, metadata: RequestMetadata
    ) -> list[HeaderPair]:
        """Return the headers of a request to an upstream."""

    def read_answer(self, head: AnswerHead) -> AnswerMetadata:
        """Return the metadata in the headers of an answer."""

    def write_answer(self, head: AnswerHead) -> list[HeaderPair]:
        """Return the headers of an answer that is forwarded to a caller."""
