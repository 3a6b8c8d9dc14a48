"""HTTP calls from the command line to proxies."""

import json
from dataclasses import dataclass
from typing import Any

import urllib3

from damaskdyke.core.management.base import CommandError, ExitCode

DEFAULT_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True)
class ProxyAnswer:
    """Answer of a proxy to the command line."""

    status: int
    headers: Any
    body: bytes

    def read_json(self) -> Any:
        """Return the body as JSON.

        Raises
        ------
        CommandError
            If it is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError:
            raise CommandError("the proxy's answer is not JSON") from None


class ProxyClient:
    """Calls to one proxy.

    Parameters
    ----------
    address : str
        ``IP:port`` of the proxy's HTTP listener.
    timeout : float
        Limit for each call in seconds.
    """

    def __init__(self, address: str, timeout: float = DEFAULT_TIMEOUT_SECONDS):
        self.address = address
        self._timeout = timeout
        self._http = urllib3.PoolManager(retries=False)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> ProxyAnswer:
        """Return the proxy's answer.

        Raises
        ------
        CommandError
            With exit code 3 if there is none.
        """
        try:
            response = self._http.request(
                method,
                f"http://{self.address}{path}",
                body=body or None,
                headers=headers,
                timeout=self._timeout,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            message = f"{self.address} does not answer: {type(error).__name__}"
            raise CommandError(message, ExitCode.UNREACHABLE) from None
        return ProxyAnswer(response.status, response.headers, response.data)
