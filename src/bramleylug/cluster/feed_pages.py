"""Pages from which other processes read the store through this one."""

from http import HTTPStatus
from urllib.parse import parse_qs

from bramleylug.store.changes import Position
from bramleylug.store.feed import REACH_NUMBERS, ChangeFeed, Poll
from bramleylug.store.store_reach import StoreReach
from bramleylug.store.zone_readers import CHANGES_PATH, ITEMS_PATH
from bramleylug.web.exchange import Exchange
from bramleylug.web.queries import integer_parameter
from bramleylug.wire.feed_pb2 import FeedAnswer

MILLISECONDS = 1000
# Longest time for which a poll of another process is held open.
MAX_POLL_S = 10.0


async def serve_feed(
    exchange: Exchange, feed: ChangeFeed, reach: StoreReach
) -> None:
    """Answer with items or changes; 503 before the store has been read."""
    arrived_s = feed.clock()
    query = parse_qs(exchange.query)
    prefix = query.get('prefix', [''])[0]
    wait_s = min(
        MAX_POLL_S, integer_parameter(query, 'wait_ms', 0) / MILLISECONDS
    )
    if exchange.path == ITEMS_PATH:
        await feed.wait_until_loaded(wait_s)
    if exchange.path == ITEMS_PATH and feed.mirror.loaded:
        _reply(exchange, feed, feed.listing(prefix, arrived_s))
    elif exchange.path == CHANGES_PATH and feed.mirror.loaded:
        poll = Poll(
            prefix,
            integer_parameter(query, 'after', 0),
            wait_s,
            bool(integer_parameter(query, 'confirms', 0)),
            arrived_s,
            _wanted_position(query),
        )
        _reply(exchange, feed, await _wait(feed, reach, poll))
    else:
        exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE, b'')


async def _wait(feed: ChangeFeed, reach: StoreReach, poll: Poll) -> FeedAnswer:
    """Return the news for a poll.

    If this process lacks what the poll waits for, it asks the store itself.
    """
    wanted = poll.at_least
    if wanted is None or feed.mirror.position >= wanted:
        return await feed.wait(poll)
    reach.seek(wanted)
    answer = await feed.wait(poll, reach.is_hopeless)
    answer.store_reach = REACH_NUMBERS[reach.told]
    return answer


def _wanted_position(query: dict[str, list[str]]) -> Position | None:
    """Return the state of the store that a poll waits for, if any."""
    revision = integer_parameter(query, 'at_least', 0)
    if not revision:
        return None
    return Position(integer_parameter(query, 'era', 0), revision)


def _reply(exchange: Exchange, feed: ChangeFeed, answer: FeedAnswer) -> None:
    raw, compressed = feed.encoder.encode(answer)
    headers = {'Content-Encoding': 'deflate'} if compressed else {}
    exchange.reply(HTTPStatus.OK, raw, headers)
