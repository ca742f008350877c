"""What an entry knows of the upstreams' load, and how old it is."""

import math
from collections import Counter
from typing import NamedTuple, final

NEWS_HALF_LIFE_S = 1.0
AVOID_LEAST_S = 0.05
AVOID_MOST_S = 5.0
CONNECT_AVOID_S = 0.5
RAMP_S = 5.0
RAMP_LEAST = 0.1
FORGET_S = 300.0
MOST_REFUSALS = 4096


class LoadReport(NamedTuple):
    """Load that an agent told of.

    :ivar others: requests there that this entry did not send.
    :ivar limit: requests it takes at once; 0 when it did not say.
    """

    others: int
    limit: int
    at_s: float


class Avoidance(NamedTuple):
    """Until when an agent is not to be asked, and how often in a row."""

    until_s: float
    times: int


@final
class LoadTracker:
    """Loads of all upstreams, estimated from own counts and old news.

    :ivar in_flight: requests this entry has running, by agent.
    :ivar avoided: agents that did not answer.
    :ivar full: until when an agent refuses a workspace.
    """

    def __init__(self) -> None:
        self.in_flight: Counter[str] = Counter()
        self.news: dict[str, LoadReport] = {}
        self.avoided: dict[str, Avoidance] = {}
        self.full: dict[tuple[str, str], float] = {}

    def started(self, name: str) -> None:
        """Note that a request was sent to an agent."""
        self.in_flight[name] += 1

    def ended(self, name: str) -> None:
        """Note that a request to an agent has ended."""
        self.in_flight[name] -= 1
        if self.in_flight[name] <= 0:
            del self.in_flight[name]

    def heard(self, name: str, waiting: int, limit: int, now_s: float) -> None:
        """Take in the load that rode on a reply.

        :param waiting: requests running and queued at the agent.
        """
        others = max(0, waiting - self.in_flight[name])
        self.news[name] = LoadReport(others, limit, now_s)

    def estimate(self, name: str, now_s: float) -> float:
        """Return the requests an agent has now, as far as is known.

        Own requests are the floor; what others had there counts for less
        the older the news is. Without news nothing is guessed for others.
        """
        own = self.in_flight.get(name, 0)
        news = self.news.get(name)
        if news is None:
            return own
        halvings = (now_s - news.at_s) / NEWS_HALF_LIFE_S
        return own + news.others * math.exp2(-halvings)

    def limit(self, name: str, told: int, now_s: float) -> int:
        """Return the requests an agent takes at once.

        :param told: limit in the membership record, which may be older.
        """
        news = self.news.get(name)
        if news is None or not news.limit:
            return max(1, told)
        if told and now_s - news.at_s > NEWS_HALF_LIFE_S:
            return told
        return news.limit

    def refused(
        self,
        name: str,
        retry_after_s: float,
        now_s: float,
        workspace: str = '',
    ) -> None:
        """Avoid an agent for as long as it asked for.

        It holds for the refused workspace alone: a full agent still takes
        requests of workspaces that hold less there.
        """
        wait_s = min(AVOID_MOST_S, max(AVOID_LEAST_S, retry_after_s))
        if len(self.full) >= MOST_REFUSALS:
            self.full = {
                key: until_s
                for key, until_s in self.full.items()
                if until_s > now_s
            }
        self.full[name, workspace] = now_s + wait_s

    def unreachable(self, name: str, now_s: float) -> None:
        """Avoid an agent that did not answer, longer each time in a row."""
        before = self.avoided.get(name)
        times = 1 if before is None else before.times + 1
        wait_s = min(AVOID_MOST_S, CONNECT_AVOID_S * 2 ** (times - 1))
        self.avoided[name] = Avoidance(now_s + wait_s, times)

    def answered(self, name: str, workspace: str = '') -> None:
        """Note that an agent serves."""
        self.avoided.pop(name, None)
        self.full.pop((name, workspace), None)

    def avoided_for_s(
        self, name: str, now_s: float, workspace: str = ''
    ) -> float:
        """Return the seconds for which an agent is still to be avoided."""
        until_s = self.full.get((name, workspace), now_s)
        avoidance = self.avoided.get(name)
        if avoidance is not None:
            until_s = max(until_s, avoidance.until_s)
        return max(0, until_s - now_s)

    def forget(self, names: frozenset[str], now_s: float) -> None:
        """Drop what is known of agents that are gone for long."""
        for name, news in tuple(self.news.items()):
            if name not in names and now_s - news.at_s > FORGET_S:
                self.news.pop(name)
                self.avoided.pop(name, None)


@final
class ZoneRamp:
    """Share of its limit that a zone gets after it was taken back in."""

    def __init__(self) -> None:
        self.out: frozenset[str] = frozenset()
        self.back_s: dict[str, float] = {}

    def observe(self, zones_out: frozenset[str], now_s: float) -> None:
        """Note which zones are out."""
        for zone in self.out - zones_out:
            self.back_s[zone] = now_s
        for zone in zones_out:
            self.back_s.pop(zone, None)
        self.out = zones_out

    def share(self, zone: str, now_s: float) -> float:
        """Return the share, from :data:`RAMP_LEAST` to 1."""
        back_s = self.back_s.get(zone)
        if back_s is None:
            return 1.0
        passed = (now_s - back_s) / RAMP_S
        if passed >= 1:
            self.back_s.pop(zone)
            return 1.0
        return max(RAMP_LEAST, passed)
