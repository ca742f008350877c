"""Final answers to callers whose request no upstream has answered."""

from http import HTTPStatus

from bramleylug.entry.answers import ErrorAnswer
from bramleylug.outcomes import NotRun, Outcome, Reason, run_name

STATUS_OF_REFUSAL = {
    Reason.unknown_service: HTTPStatus.NOT_FOUND,
    Reason.bad_request: HTTPStatus.BAD_REQUEST,
    Reason.bad_key: HTTPStatus.UNAUTHORIZED,
    Reason.overloaded: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.queue_full: HTTPStatus.TOO_MANY_REQUESTS,
}
# Answers that stay the same however often they are asked for.
FINAL = frozenset(
    (HTTPStatus.NOT_FOUND, HTTPStatus.BAD_REQUEST, HTTPStatus.UNAUTHORIZED)
)


def describe_outcome(outcome: Outcome) -> ErrorAnswer:
    """Return status, JSON and headers of an answer of our own.

    408, 421, 429 and 503 tell that nothing ran, so that only a request
    that did not run gets one of them.
    """
    document = {
        'code': str(outcome.reason),
        'message': outcome.message,
        'run': run_name(outcome),
    }
    headers = {'X-Run': run_name(outcome)}
    match outcome:
        case NotRun(reason, retry_after_s=retry_after_s):
            status = STATUS_OF_REFUSAL.get(
                reason, HTTPStatus.SERVICE_UNAVAILABLE
            )
            if status not in FINAL and retry_after_s:
                headers['Retry-After'] = f'{retry_after_s:.2f}'
        case _ if outcome.reason is Reason.deadline:
            status = HTTPStatus.GATEWAY_TIMEOUT
        case _:
            status = HTTPStatus.BAD_GATEWAY
    return int(status), document, headers
