"""Command line client for callers: sends one query or one command."""

import asyncio
import random

import defopt
import msgspec
import result

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.programs import _caller_client as caller_client
from rudderrock.programs import _exits as exits
from rudderrock.programs import _runtime as runtime
from rudderrock.programs import _secrets as secrets

_TOKEN = 'env:RUDDERROCK_TOKEN'


def ask(
    host: str,
    collection: str,
    body: str = 'null',
    *,
    limit: int = 10,
    deadline_s: float | None = None,
    token: str = _TOKEN,
    json: bool = False,
) -> None:
    """Send one query and print its answer.

    The exit code is 0 if the query was answered, 2 if an argument is invalid,
    3 if the query was refused and therefore did not run, 4 if it may have run
    and 5 if the host did not reply.

    :param host: address at which an entry host accepts callers, IP:PORT
    :param collection: collection to search
    :param body: query body, as JSON
    :param limit: maximum number of hits
    :param deadline_s: time limit for the answer, in seconds
    :param token: location of the team's token: env:NAME or a file
    :param json: print JSON instead of text
    """
    query = protocol.Query(
        collection=state.CollectionId(collection),
        body=msgspec.Raw(_check_json(body)),
        limit=limit,
        deadline_s=deadline_s,
    )

    async def send(client: caller_client.CallerClient):
        return await client.query(query)

    reply = _send(host, token, send)
    if json or reply.status != 200:
        _print_and_exit(reply)
        return
    answer = protocol.decode(protocol.Answered, reply.body).unwrap()
    coverage = answer.coverage
    print(
        f'{coverage.answered} of {coverage.shards} shards, index version '
        f'{answer.version}, query {answer.query}'
    )
    for shard, reason in coverage.missing.items():
        print(f'  missing {shard}: {reason.value}')
    for hit in answer.hits:
        print(f'  {hit.score:.6f}  {hit.id}  {bytes(hit.document).decode()}')


def command(
    host: str,
    collection: str,
    routing_key: str,
    body: str = 'null',
    *,
    key: str = '',
    token: str = _TOKEN,
) -> None:
    """Send one non-idempotent request, which runs at most once.

    The idempotency key is printed first; pass it with --key to retry. The
    exit code is 0 if the request ran, 2 if an argument is invalid, 3 if the
    request certainly did not run and 4 if it may have run or the host did not
    reply.

    :param host: address at which an entry host accepts callers, IP:PORT
    :param collection: collection that the request is for
    :param routing_key: key that determines the shard
    :param body: request body, as JSON
    :param key: idempotency key of an earlier attempt
    :param token: location of the team's token: env:NAME or a file
    """
    message = protocol.Command(
        collection=state.CollectionId(collection),
        routing_key=routing_key,
        body=msgspec.Raw(_check_json(body)),
    )

    async def send(client: caller_client.CallerClient):
        used_key = key or _make_key()
        print(f'idempotency key {used_key}')
        return await client.command(message, used_key)

    _print_and_exit(_send(host, token, send, failure_code=exits.Exit.UNKNOWN))


def _make_key() -> str:
    unix = int(runtime.make_system_clock().wall())
    return f'{unix:010d}-{random.SystemRandom().getrandbits(96):024x}'


def _send(
    host: str,
    token: str,
    send,
    failure_code: exits.Exit = exits.Exit.UNAVAILABLE,
) -> transport.RawReply:
    read = secrets.read_secret(token)
    if read.is_err():
        exits.fail(read.unwrap_err(), exits.Exit.USAGE)

    async def run():
        client = caller_client.CallerClient(host, read.unwrap())
        try:
            return await send(client)
        finally:
            await client.close()

    match asyncio.run(run()):
        case result.Err(failed):
            exits.fail(failed.detail, failure_code)
        case result.Ok(reply):
            return reply


def _print_and_exit(reply: transport.RawReply) -> None:
    print(reply.body.decode())
    if reply.status == 200:
        return
    problem = protocol.decode(protocol.ProblemDetails, reply.body)
    unknown = problem.is_err() or (
        problem.unwrap().outcome is protocol.ExecutionStatus.UNKNOWN
    )
    raise SystemExit(exits.Exit.UNKNOWN if unknown else exits.Exit.REFUSED)


def _check_json(text: str) -> bytes:
    try:
        msgspec.json.decode(text)
    except msgspec.DecodeError as exc:
        exits.fail(f'the body is not JSON: {exc}', exits.Exit.USAGE)
    return text.encode()


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run({'ask': ask, 'command': command})


if __name__ == '__main__':
    main()
