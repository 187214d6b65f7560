"""The callers' HTTP interface: addresses and queries."""

import typing

import klein
import msgspec

from godwitflow.daemon import control as control_module
from godwitflow.daemon import front as front_module
from godwitflow.model import answers
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.model import queries

JSON = "application/json"
MAX_TRACEPARENT_CHARS = 55


class AddressReply(msgspec.Struct):
    """The reply to a caller that asks which addresses to use."""

    addresses: tuple[str, ...]
    max_age_ms: float


class Callers:
    """The routes of the callers' HTTP interface."""

    app = klein.Klein()

    def __init__(
        self,
        front: front_module.Front,
        control: control_module.Control,
    ) -> None:
        self.front = front
        self.control = control
        self.open_requests = 0

    def resource(self) -> typing.Any:
        """Return the root resource for a site."""
        return self.app.resource()

    @app.route("/v1/addresses", methods=["GET"])
    def addresses(self, request: typing.Any) -> bytes:
        """Return the addresses to use and how long they are valid.

        The response has status 503 if there are none.
        """
        argument = request.args.get(b"failure_domain", [b""])[0]
        failure_domain = None
        if argument:
            text = argument.decode("utf-8", "replace")
            failure_domain = ids.FailureDomain(text)
        chosen = self.control.addresses(failure_domain)
        request.setHeader("Content-Type", JSON)
        if not chosen:
            request.setResponseCode(503)
        max_age_ms = self.control.address_settings.max_age_ms
        reply = AddressReply(tuple(chosen), max_age_ms)
        return msgspec.json.encode(reply)

    @app.route("/v1/query", methods=["POST"])
    async def query(self, request: typing.Any) -> bytes:
        """Answer or refuse one request."""
        self.open_requests += 1
        try:
            result = await self._query(request)
        finally:
            self.open_requests -= 1
        return _send(request, result)

    async def _query(
        self, request: typing.Any
    ) -> answers.Answer | answers.Refusal:
        try:
            query = queries.decode(request.content.read())
        except errors.RequestInvalidError as error:
            return answers.Refusal(
                answers.RefusalCode(error.code),
                answers.RunStatus.NOT_RUN,
                error.message,
            )
        header = request.getHeader("traceparent") or ""
        return await self.front.query(query, header[:MAX_TRACEPARENT_CHARS])

    @app.handle_errors(Exception)
    def on_error(self, request: typing.Any, failure: typing.Any) -> bytes:
        """Respond to a routing error with a refusal.

        Any other exception is raised again.
        """
        code = getattr(failure.value, "code", 500)
        if not isinstance(code, int) or not 400 <= code < 500:
            raise failure.value
        refusal = answers.Refusal(
            answers.RefusalCode.BAD_REQUEST,
            answers.RunStatus.NOT_RUN,
            f"no such call: {request.method.decode('ascii', 'replace')}",
        )
        request.setResponseCode(code)
        request.setHeader("Content-Type", JSON)
        return msgspec.json.encode(refusal)


def _send(
    request: typing.Any, result: answers.Answer | answers.Refusal
) -> bytes:
    request.setHeader("Content-Type", JSON)
    if isinstance(result, answers.Refusal):
        request.setResponseCode(result.http_status)
        if result.retry_after_ms is not None:
            seconds = -(-result.retry_after_ms // 1_000)
            request.setHeader("Retry-After", str(seconds))
    return msgspec.json.encode(result)
