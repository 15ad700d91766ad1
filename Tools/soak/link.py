"""A loopback proxy between one host and one server: it holds, loses, delays or resets what passes, also one way."""

import asyncio
import enum
import time

from soak.http import read_request, write_answer


class Passage(enum.Enum):
    """What happens to messages in one direction."""
    OPEN = "open"
    # Messages wait and are delivered once the direction is open again, as after lost packets.
    HELD = "held"
    # Messages are lost, and their connections stay silent for good.
    LOST = "lost"


def worst(passages):
    """What passes where several cuts meet."""
    order = list(Passage)
    return max(passages, key=order.index, default=Passage.OPEN)


class Direction:
    """One direction of a link. Messages that are held are delivered in order, also when their connection has ended."""

    def __init__(self):
        self.passage = Passage.OPEN
        self.delay = 0.0
        self.changed = asyncio.Event()

    def set(self, passage):
        self.passage = passage
        self.changed.set()
        self.changed = asyncio.Event()

    async def cross(self):
        """Returns whether the message arrives."""
        if self.delay:
            await asyncio.sleep(self.delay)
        while self.passage is Passage.HELD:
            await self.changed.wait()
        return self.passage is Passage.OPEN


class Link:
    """Accepts the host's connections at `address` and passes complete requests to `serve(host, request)`, which
    returns (status, object), or None to end the connection without an answer."""

    def __init__(self, host, ip, port, serve):
        self.host, self.ip, self.port, self.serve = host, ip, port, serve
        self.to_server, self.to_host = Direction(), Direction()
        # The passages to the server and to the host: of cut(), and of each hold().
        self.passages = (Passage.OPEN, Passage.OPEN)
        self.holds = []
        self.refuses = False
        self.writers = set()
        self.server = None
        self.listens = False

    async def start(self):
        if self.listens:
            return
        self.listens = True
        server = await asyncio.start_server(self._accept, self.ip, self.port, backlog=128)
        if not self.listens:
            server.close()
            return
        self.server = server

    def stop(self):
        """Closes the port and resets all connections, as the end of the server's process does."""
        # Also before start() has got its server, which it closes then.
        self.listens = False
        if self.server:
            self.server.close()
            self.server = None
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def cut(self, to_server, to_host):
        self.passages = (to_server, to_host)
        self._apply()

    def hold(self, to_server, to_host):
        """A cut that heal() doesn't end, as another fault may call it meanwhile. Returns what release() takes."""
        self.holds.append([to_server, to_host])
        self._apply()
        return self.holds[-1]

    def release(self, hold):
        self.holds = [other for other in self.holds if other is not hold]
        self._apply()

    def _apply(self):
        self.to_server.set(worst([self.passages[0], *(hold[0] for hold in self.holds)]))
        self.to_host.set(worst([self.passages[1], *(hold[1] for hold in self.holds)]))

    def heal(self):
        self.refuses = False
        self.cut(Passage.OPEN, Passage.OPEN)

    async def _accept(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                request.sent_at = time.monotonic()
                # Not awaited by the connection alone: what was sent arrives even if the host gives the call up.
                if not await asyncio.shield(asyncio.ensure_future(self._exchange(request, writer))):
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            if not writer.transport.is_closing():
                writer.close()

    async def _exchange(self, request, writer):
        if not await self.to_server.cross():
            # Silent until the host closes it.
            await asyncio.sleep(60)
            return False
        answer = await self.serve(self.host, request)
        if answer is None:
            writer.transport.abort()
            return False
        if not await self.to_host.cross():
            await asyncio.sleep(60)
            return False
        if writer.transport.is_closing():
            return False
        write_answer(writer, *answer)
        return True
