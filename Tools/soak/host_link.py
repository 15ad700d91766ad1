"""Links between hosts: calls (TCP) and datagrams of one host to another one, which pass through the soak.

Source/UnitTests/Process/HostLinks.cpp, linked into the program, sends them to the link's address.
"""

import asyncio
import pathlib
import socket
import struct

from soak.link import Direction, Passage, worst

ENVIRONMENT = "LAVENDERCART_SOAK_LINKS"
BACKLOG = 128
MAX_DATAGRAM = 65536


def has_links(program):
    """Whether what the program's hosts send to each other passes through the soak."""
    return ENVIRONMENT.encode() in pathlib.Path(program).read_bytes()


def reset(writer):
    """Ends a connection at once and with a reset; abort() alone ends it as a process does that closes it."""
    writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class HostLink:
    """What one host sends to another one at the link's address `ip`, and the answers.

    `outwards` and `back` are the directions between the two hosts; the link of the other host's calls has them the
    other way round. Datagrams that can't pass are lost: nobody repeats them.
    """

    def __init__(self, ip, call_port, datagram_port, server_ip, outwards, back):
        self.ip, self.call_port, self.datagram_port, self.server_ip = ip, call_port, datagram_port, server_ip
        self.outwards, self.back = outwards, back
        self.refuses = False
        # Whether the other host's process listens; if not, connections are refused as without a link.
        self.server_listens = False
        self.on_server_gone = lambda: None
        self.writers, self.tasks = set(), set()
        self.listener = self.filler = None
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.setblocking(False)
        self.datagrams.bind((ip, datagram_port))
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.datagrams, self._pass_datagrams)

    def refresh(self):
        """Makes new connections succeed, stay without an answer, or be refused, as the directions and `refuses` say."""
        cut = self.outwards.passage is not Passage.OPEN or self.back.passage is not Passage.OPEN
        if self.refuses or not (cut or self.server_listens):
            self._close_listener()
        elif cut:
            self._silence_listener()
        else:
            self._open_listener()

    def set_server_listens(self, listens):
        self.server_listens = listens
        self.refresh()

    def reset(self):
        for writer in list(self.writers):
            if not writer.transport.is_closing():
                reset(writer)

    def stop(self):
        self.loop.remove_reader(self.datagrams)
        self.datagrams.close()
        self._close_listener()
        self.reset()
        for task in list(self.tasks):
            task.cancel()

    # New connections.

    def _listen(self):
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind((self.ip, self.call_port))

    def _open_listener(self):
        if self.listener and not self.filler:
            return
        if not self.listener:
            self._listen()
        self.listener.listen(BACKLOG)
        self._accept_all()
        self._close_filler()
        self.loop.add_reader(self.listener, self._accept_all)

    def _silence_listener(self):
        """A listener whose queue is full drops what asks for a connection, as a lost packet; the asking system repeats
        it and is connected some time after the link is open again."""
        if self.filler:
            return
        if not self.listener:
            self._listen()
            self.listener.listen(BACKLOG)
        self._accept_all()
        self.loop.remove_reader(self.listener)
        self.listener.listen(0)
        self.filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.filler.setblocking(False)
        self.filler.connect_ex((self.ip, self.call_port))

    def _close_listener(self):
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        self._close_filler()

    def _close_filler(self):
        if self.filler:
            self.filler.close()
            self.filler = None

    def _accept_all(self):
        while True:
            try:
                accepted, peer = self.listener.accept()
            except OSError:
                return
            if self.filler and peer == self.filler.getsockname():
                accepted.close()
                continue
            accepted.setblocking(False)
            task = self.loop.create_task(self._carry(accepted))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    # Established connections.

    async def _carry(self, accepted):
        reader, writer = await asyncio.open_connection(sock=accepted)
        self.writers.add(writer)
        server_writer = None
        try:
            server_reader, server_writer = await asyncio.open_connection(self.server_ip, self.call_port)
            self.writers.add(server_writer)
            await asyncio.gather(self._pump(reader, server_writer, self.outwards),
                                 self._pump(server_reader, writer, self.back))
        except ConnectionRefusedError:
            self.on_server_gone()
            reset(writer)
        except OSError:
            pass
        finally:
            for side in filter(None, (writer, server_writer)):
                self.writers.discard(side)
                side.close()

    async def _pump(self, reader, writer, direction):
        """After a loss nothing more of this connection passes in this direction, not even its end."""
        lost = False
        while True:
            try:
                data, was_reset = await reader.read(MAX_DATAGRAM), False
            except OSError:
                data, was_reset = b"", True
            lost = lost or not await direction.cross()
            if not lost and not writer.transport.is_closing():
                if data:
                    writer.write(data)
                elif was_reset:
                    reset(writer)
                else:
                    writer.write_eof()
            if not data:
                return

    # Datagrams.

    def _pass_datagrams(self):
        while True:
            try:
                data = self.datagrams.recv(MAX_DATAGRAM)
            except OSError:
                return
            if self.outwards.passage is Passage.OPEN and not self.refuses:
                try:
                    self.datagrams.sendto(data, (self.server_ip, self.datagram_port))
                except OSError:
                    pass


class HostLinks:
    """The links between all hosts, by the indexes of the two."""

    def __init__(self, network, host_ips, call_port, datagram_port):
        """`network(index)` is the first address of the network in which the host of that index reaches the others."""
        self.network, self.host_ips = network, host_ips
        self.call_port, self.datagram_port = call_port, datagram_port
        self.links, self.directions, self.listening = {}, {}, set()
        self.count = 0
        # (passage of each ordered pair, whether it refuses) of the cuts that are there.
        self.cuts = []

    def add_host(self):
        new, self.count = self.count, self.count + 1
        for other in range(new):
            for pair in ((new, other), (other, new)):
                self.directions[pair] = Direction()
            for source, target in ((new, other), (other, new)):
                prefix = self.network(source).rsplit(".", 1)[0]
                suffix = self.host_ips[target].rsplit(".", 1)[1]
                link = HostLink(f"{prefix}.{suffix}", self.call_port, self.datagram_port, self.host_ips[target],
                                self.directions[source, target], self.directions[target, source])
                link.on_server_gone = lambda target=target: self.set_listening(target, False)
                link.set_server_listens(target in self.listening)
                self.links[source, target] = link

    def environment(self, index):
        return f"{self.host_ips[index]} {self.network(index)}"

    def set_listening(self, index, listens):
        if listens == (index in self.listening):
            return
        (self.listening.add if listens else self.listening.discard)(index)
        for (_, target), link in self.links.items():
            if target == index:
                link.set_server_listens(listens)

    def cut(self, pairs, outwards, back, refuses=False, resets=False):
        """Returns what heal() takes. `outwards`: the passage of what the first host of a pair sends to the second one;
        `back`: the other way. Links that refuse lose datagrams, and refuse and reset connections of both hosts;
        `resets`: connections are reset once."""
        cut = {pair: passage for source, target in pairs
               for pair, passage in (((source, target), outwards), ((target, source), back)) if pair in self.links}
        self.cuts.append((cut, refuses))
        self._apply(cut)
        for pair in cut:
            if refuses or resets:
                self.links[pair].reset()
        return self.cuts[-1]

    def heal(self, cut):
        """Other cuts of the same links go on."""
        self.cuts = [other for other in self.cuts if other is not cut]
        self._apply(cut[0])

    def are_open(self, index):
        """Whether no link of this host is cut."""
        return not any(index in pair for cut, _ in self.cuts for pair in cut)

    def _apply(self, pairs):
        for pair in pairs:
            present = [(cut[pair], refuses) for cut, refuses in self.cuts if pair in cut]
            self.directions[pair].set(worst([passage for passage, _ in present]))
            self.links[pair].refuses = any(refuses for _, refuses in present)
        for source, target in pairs:
            self.links[source, target].refresh()
            self.links[target, source].refresh()

    def stop(self):
        for link in self.links.values():
            link.stop()
