"""An HTTP application that serves the platform's host list."""

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from rudderrock import protocol
from rudderrock import transport
from rudderrock.standins import _memory_hosts as memory_hosts


def make_host_list_app(
    hosts: memory_hosts.MemoryHostList,
) -> applications.Starlette:
    """Return an application that serves a host list over HTTP."""

    async def list_hosts(request: requests.Request) -> responses.Response:
        listed = await hosts.list_hosts()
        if listed.is_err():
            return responses.PlainTextResponse('down', 503)
        return responses.Response(
            protocol.encode(listed.unwrap().hosts),
            media_type=protocol.JSON_TYPE,
        )

    return applications.Starlette(
        routes=[
            routing.Route(
                transport.HOST_LIST_PATH, list_hosts, methods=['POST']
            )
        ]
    )
