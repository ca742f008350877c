"""Client that looks up the entries of a service and sends requests to them.

Usage: ``python examples/caller.py ENTRY SERVICE PATH BODY [TIMES]``, where
ENTRY is ``host:port`` of any entry.
"""

import json
import sys
import time
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException

TIMEOUT_S = 60
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 1.0


class Caller:
    """Caches the list of entries for the time that the entry states.

    :param entry: entry for the first look-up, ``host:port``.
    """

    def __init__(self, entry: str, service: str) -> None:
        self.known = [entry]
        self.service = service
        self.keep_until_s = 0.0

    def send(self, path: str, body: str, headers: dict[str, str]) -> str:
        """Send a request, with retries if they are safe; return the answer.

        A retry is safe if the request did not run or has an idempotency key.
        If none succeeds, the text of the last error is returned.
        """
        for attempt in range(MAX_ATTEMPTS):
            address = self.entries()[attempt % len(self.known)]
            status, run, text = post(
                address, f'/v1/services/{self.service}{path}', body, headers
            )
            if status == HTTPStatus.OK:
                return text
            if run != 'not_run' and 'Idempotency-Key' not in headers:
                return f'{status} {run}: {text}'
            self.keep_until_s = 0
            time.sleep(RETRY_DELAY_S)
        return text

    def entries(self) -> list[str]:
        """Return the entries, in the order in which to use them.

        If no entry can be reached, the expired list is used again.
        """
        if time.monotonic() < self.keep_until_s:
            return self.known
        for address in self.known:
            answer = get(address, f'/v1/entries?service={self.service}')
            if answer and answer['entries']:
                self.known = [item['address'] for item in answer['entries']]
                self.keep_until_s = time.monotonic() + answer['keep_s']
                break
        return self.known


def get(address: str, path: str) -> dict | None:
    """Return a JSON response, or ``None`` if there is no valid one."""
    connection = HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request('GET', path)
        return json.loads(connection.getresponse().read())
    except (OSError, HTTPException, ValueError):
        return None
    finally:
        connection.close()


def post(
    address: str, path: str, body: str, headers: dict[str, str]
) -> tuple[int, str, str]:
    """Return status, whether the request ran, and the body.

    Whether it ran is ``ran``, ``not_run`` or ``unknown``; status 0 stands for
    no response.
    """
    connection = HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.connect()
    except OSError as error:
        return 0, 'not_run', str(error)
    try:
        connection.request('POST', path, body, headers)
        response = connection.getresponse()
        run = response.getheader('X-Run', 'ran')
        return response.status, run, response.read().decode()
    except (OSError, HTTPException) as error:
        return 0, 'unknown', str(error)
    finally:
        connection.close()


def main() -> None:
    """Send a request TIMES times and print each response."""
    entry, service, *request = sys.argv[1:]
    path, body, *times = request
    caller = Caller(entry, service)
    for _ in range(int(times[0]) if times else 1):
        print(caller.send(path, body, {}))


if __name__ == '__main__':
    main()
