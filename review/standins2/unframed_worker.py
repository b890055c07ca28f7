"""A worker whose streams have no length and end with their connection.

A process of its own, as it is killed. It says on its standard output where it
listens, and which events of which request it has sent.
"""

import asyncio
import sys

import platform_standins as site_lib

EVENTS = 40
EVENT_GAP_S = 0.05


class UnframedWorker(site_lib.Server):
    """Answers all requests with a stream."""

    def __init__(self, host, worker_id):
        super().__init__(host)
        self._id = worker_id

    async def handle(self, request, _reader, writer):
        """Answers a request; the end of the connection ends the answer."""
        if request.path == "/health":
            head = [("Instance-Id", self._id)]
            writer.write(site_lib.answer(200, head))
            return True
        expected = request.headers.get("expected-instance", self._id)
        request_id = request.headers.get("request-id", "")
        if expected != self._id:
            head = [("Request-Id", request_id), ("Instance-Id", self._id)]
            head.append(("Not-Executed", "1"))
            writer.write(site_lib.answer(421, head))
            return True
        begun = int(request.headers.get("last-event-id") or 0)
        writer.write(
            b"HTTP/1.1 200 OK\r\n"
            b"Content-Type: text/event-stream\r\n"
            b"Connection: close\r\n"
            + f"Request-Id: {request_id}\r\n".encode()
            + f"Response-Signature: s.{self._id}.{request_id}\r\n\r\n".encode()
        )
        print(f"runs {request_id} from {begun + 1}", flush=True)
        for number in range(begun + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_GAP_S)
            writer.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await writer.drain()
            print(f"sent {request_id} {number}", flush=True)
        return False


async def main():
    """Serves until it is killed."""
    worker = UnframedWorker(sys.argv[1], sys.argv[2])
    await worker.listen()
    print(f"listens {worker.address}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
