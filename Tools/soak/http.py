"""The HTTP/1.1 subset that the stand-ins speak."""

import asyncio
import json
import re

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}
LENGTH = re.compile(rb"content-length:\s*(\d+)", re.I)


class Request:
    """A parsed request. `body` is bytes; `headers` has lower-case names."""

    def __init__(self, head, body):
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                self.headers[name.strip().lower()] = value.strip()
        self.body = body


async def read_request(reader):
    """Raises IncompleteReadError or OSError at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = LENGTH.search(head)
    body = await reader.readexactly(int(length.group(1))) if length else b""
    return Request(head, body)


def write_answer(writer, status, value):
    data = b"" if value is None else json.dumps(value).encode()
    writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}\r\nContent-Type: application/json\r\n"
                  f"Content-Length: {len(data)}\r\n\r\n").encode() + data)


async def call(address, method, target, body=None, host="desk.example", timeout=3.0):
    """One call on a connection of its own. Returns (status, object), or (None, reason) without a complete answer."""
    try:
        return await asyncio.wait_for(_exchange(address, method, target, body, host, timeout), timeout)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        return None, type(error).__name__


async def _exchange(address, method, target, body, host, timeout):
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        writer.write((f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                      f"X-Deadline-Ms: {int(timeout * 1000)}\r\nContent-Length: {len(data)}\r\n"
                      "Connection: close\r\n\r\n").encode() + data)
        head = await reader.readuntil(b"\r\n\r\n")
        length = LENGTH.search(head)
        text = await reader.readexactly(int(length.group(1)) if length else 0)
        return int(head.split()[1]), json.loads(text) if text else None
    finally:
        writer.close()
