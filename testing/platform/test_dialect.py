"""Tests of the platform's headers."""

import unittest
from types import SimpleNamespace

from bramleylug.platform.dialect import PlatformDialect
from bramleylug.relay.dialect import RequestMetadata
from bramleylug.scheduling.figures import RequestSize
from bramleylug.web.client_connection import AnswerHead

HEADERS = {
    'Host': 'advisor.example:80',
    'X-Request-Id': 'abc',
    'X-Request-Deadline': '6075',
    'Authorization': 'Bearer key-1',
    'X-Model': 'fitting',
    'X-Token-Usage': '1460,80',
    'X-Prompt-Prefix': '5c1e:800',
    'X-Tenant': 'forged',
    'X-Expect-Instance': 'forged',
    'X-Request-Priority': '0',
    'Last-Event-Id': '12',
    'Connection': 'keep-alive',
    'X-Own': 'kept',
}


def build_exchange(headers=None):
    """Return a stub of an exchange with the members that are read."""
    given = {**HEADERS, **(headers or {})}
    return SimpleNamespace(
        method='POST',
        path='/ask/1',
        query='a=b',
        headers=given,
        header=lambda name, default='': given.get(name, default),
        body=lambda: b'body',
    )


class TestRequests(unittest.TestCase):
    """Headers of requests, from callers and to engines."""

    def setUp(self) -> None:
        self.dialect = PlatformDialect()
        self.request = self.dialect.read_request(build_exchange())

    def test_parts_of_the_prompt_are_read_in_order(self) -> None:
        """Their sizes and malformed entries are left out."""
        exchange = build_exchange(
            {'X-Prompt-Prefix': '5C1E07a2:800, 91bd3f06:410,,:7,e4402b7d:250'}
        )

        self.assertEqual(
            self.dialect.read_request(exchange).prompt_parts,
            ('5c1e07a2', '91bd3f06', 'e4402b7d'),
        )

    def test_size_is_read_with_the_hint_of_the_caller(self) -> None:
        exchange = build_exchange({'X-Length-Hint': '64'})

        self.assertEqual(
            self.dialect.read_request(exchange).size, RequestSize(1460, 80, 64)
        )

    def test_unreadable_size_counts_as_unknown(self) -> None:
        exchange = build_exchange(
            {'X-Token-Usage': '-3,many', 'X-Length-Hint': 'long'}
        )

        self.assertEqual(
            self.dialect.read_request(exchange).size, RequestSize(0, 0, 0)
        )

    def written(self, **fields):
        """Return the headers that an engine gets."""
        defaults = {
            'upstream_id': 'e-1',
            'workspace': 'garage',
            'deadline_s': 1.5,
            'urgency': 1,
            'version': 0,
            'resume_after': '',
        }
        metadata = RequestMetadata(**{**defaults, **fields})
        return dict(self.dialect.write_request(self.request, metadata))

    def test_request_is_read(self) -> None:
        """The deadline is converted to seconds; the host loses its port."""
        request = self.request

        self.assertEqual(
            (request.host, request.deadline_s, request.api_key),
            ('advisor.example', 6.075, 'key-1'),
        )
        self.assertEqual(request.model, 'fitting')
        self.assertEqual(request.target, '/ask/1?a=b')

    def test_engine_gets_the_workspace_and_not_the_key(self) -> None:
        """A workspace that the caller claims in a header is replaced."""
        headers = self.written()

        self.assertNotIn('Authorization', headers)
        self.assertEqual(headers['X-Tenant'], 'garage')

    def test_workspace_claimed_for_a_public_route_is_dropped(self) -> None:
        self.assertNotIn('X-Tenant', self.written(workspace=''))

    def test_forged_headers_are_replaced(self) -> None:
        """The relay sets instance, deadline and priority."""
        headers = self.written()

        self.assertEqual(headers['X-Expect-Instance'], 'e-1')
        self.assertEqual(headers['X-Request-Deadline'], '1500')
        self.assertEqual(headers['X-Request-Priority'], '1')

    def test_headers_of_the_caller_are_forwarded(self) -> None:
        """Known and unknown ones are, but hop-by-hop headers are not."""
        headers = self.written()

        for name in ('X-Request-Id', 'X-Model', 'X-Token-Usage', 'X-Own'):
            self.assertEqual(headers[name], HEADERS[name])
        self.assertNotIn('Connection', headers)

    def test_version_and_resume_point_are_sent_only_if_set(self) -> None:
        headers = self.written(version=3, resume_after='7')

        self.assertEqual(headers['X-Expect-Version'], '3')
        self.assertEqual(headers['Last-Event-Id'], '7')
        self.assertNotIn('Last-Event-Id', self.written())

    def test_deadline_that_is_no_number_is_ignored(self) -> None:
        """The route's time limit then applies."""
        exchange = build_exchange({'X-Request-Deadline': 'soon'})

        self.assertIsNone(self.dialect.read_request(exchange).deadline_s)


class TestAnswers(unittest.TestCase):
    """Headers of engines' answers."""

    def read(self, status, **headers):
        lowered = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        head = AnswerHead(status, lowered, tuple(lowered.items()))
        return PlatformDialect().read_answer(head)

    def test_not_executed_header_states_that_nothing_ran(self) -> None:
        """After a 503 without it, the request may have run."""
        self.assertTrue(self.read(503, x_not_executed='1').not_run)
        self.assertFalse(self.read(503).not_run)

    def test_misdirected_request_did_not_run(self) -> None:
        """Status 421: another engine has the address now."""
        self.assertTrue(self.read(421).not_run)

    def test_keep_alive_and_cold_time_are_seconds(self) -> None:
        answer = self.read(
            200, keep_alive='timeout=10', x_cold_remaining='1500'
        )

        self.assertEqual((answer.keep_alive_s, answer.cold_for_s), (10.0, 1.5))
        self.assertFalse(answer.closes_connection)

    def test_signature_is_returned_and_hop_by_hop_headers_are_not(self) -> None:
        pairs = (('X-Response-Signature', 's'), ('Connection', 'close'))
        head = AnswerHead(200, {}, pairs)

        self.assertEqual(
            PlatformDialect().write_answer(head),
            [('X-Response-Signature', 's')],
        )

    def test_limit_is_a_decimal_number_of_requests_a_second(self) -> None:
        for text, per_s in (
            ('1.9', 1.9),
            (' 3 ', 3.0),
            ('0', 0.0),
            ('0.1000000000000000055511', 0.1),
        ):
            answer = self.read(200, server_limit=text)
            self.assertEqual(
                (answer.names_limit, answer.limit_per_s), (True, per_s)
            )

    def test_unreadable_limit_is_neither_a_number_nor_none(self) -> None:
        for text in ('', '-1', 'nan', 'inf', '1e9', 'many', '1.2.3'):
            answer = self.read(200, server_limit=text)
            self.assertEqual(
                (answer.names_limit, answer.limit_per_s), (True, None)
            )

    def test_misdirected_request_tells_no_limit(self) -> None:
        """It was answered by another engine."""
        answer = self.read(421, server_limit='1.9')

        self.assertEqual(
            (answer.names_limit, answer.limit_per_s), (False, None)
        )

    def test_limit_is_not_passed_on_to_callers(self) -> None:
        pairs = (('Server-Limit', '1.9'),)

        self.assertEqual(
            PlatformDialect().write_answer(AnswerHead(200, {}, pairs)), []
        )
