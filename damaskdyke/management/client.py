"""HTTP client of the command line for calls to proxies."""

import json
from dataclasses import dataclass
from typing import Any

import urllib3

from damaskdyke.core.management.base import CommandError, ExitCode

DEFAULT_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True)
class ProxyAnswer:
    """HTTP response of a proxy."""

    status: int
    headers: Any
    body: bytes

    def read_json(self) -> Any:
        """Return the body as JSON.

        Raises
        ------
        CommandError
            If the body is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError:
            raise CommandError("the body of the proxy's response is not JSON") from None


class ProxyClient:
    """HTTP client for one proxy; it does not retry.

    Parameters
    ----------
    address : str
        ``IP:port`` of the proxy's HTTP listener.
    timeout : float
        Time limit in seconds for connecting and for each read.
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
        """Send a request and return the proxy's response, whatever its status.

        Raises
        ------
        CommandError
            With exit code 3 if the proxy does not answer.
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
