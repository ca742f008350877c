"""Error responses to requests that no upstream has answered."""

from http import HTTPStatus

from bramleylug.entry.answers import ErrorAnswer
from bramleylug.outcomes import NotRun, Outcome, Reason, run_name

STATUS_BY_REASON = {
    Reason.unknown_service: HTTPStatus.NOT_FOUND,
    Reason.bad_request: HTTPStatus.BAD_REQUEST,
    Reason.bad_key: HTTPStatus.UNAUTHORIZED,
    Reason.overloaded: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.queue_full: HTTPStatus.TOO_MANY_REQUESTS,
}
# Statuses for which a retry makes no difference; they get no Retry-After.
PERMANENT_STATUSES = frozenset(
    (HTTPStatus.NOT_FOUND, HTTPStatus.BAD_REQUEST, HTTPStatus.UNAUTHORIZED)
)


def error_response(outcome: Outcome) -> ErrorAnswer:
    """Return status, JSON document and headers of a response.

    408, 421, 429 and 503 promise the caller that nothing ran. Only requests
    that were not run get one of them.
    """
    document = {
        'code': str(outcome.reason),
        'message': outcome.message,
        'run': run_name(outcome),
    }
    headers = {'X-Run': run_name(outcome)}
    match outcome:
        case NotRun(reason, retry_after_s=retry_after_s):
            status = STATUS_BY_REASON.get(
                reason, HTTPStatus.SERVICE_UNAVAILABLE
            )
            if status not in PERMANENT_STATUSES and retry_after_s:
                headers['Retry-After'] = f'{retry_after_s:.2f}'
        case _ if outcome.reason is Reason.deadline:
            status = HTTPStatus.GATEWAY_TIMEOUT
        case _:
            status = HTTPStatus.BAD_GATEWAY
    return int(status), document, headers
