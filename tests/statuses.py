"""First lines of answers that no server may send, and interim answers."""

NO_ANSWERS = (
    b"HTTP/1.1 000 X",
    b"HTTP/1.1 0 X",
    b"HTTP/1.1 00 X",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 20 X",
    b"HTTP/1.1 2000 X",
    b"HTTP/1.1 2_00 X",
    b"HTTP/1.1 +200 X",
    b"HTTP/1.1 -200 X",
    b"HTTP/1.1 0200 X",
    b"HTTP/1.1 20O X",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 700 X",
    b"HTTP/1.1 999 X",
    b"HTTP/1.1 101 X",
    b"HTTP/1.1\t200 X",
    b"HTTP/1.1  200 X",
    b"HTTP/1.1",
    b"HTTP/1.x 200 X",
    b"HTTP/2.0 200 X",
    b"HTTP/0.9 200 X",
    b"HTTP/11 200 X",
    b"http/1.1 200 X",
    b"200 X",
)
"""Parsers of libraries take some of them for answers."""

INTERIM_ANSWERS = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
    b"HTTP/1.1 199 X\r\nContent-Length: 4\r\n\r\n",
    b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 100 X\r\n\r\nHTTP/1.1 102 X\r\n\r\n",
)


def with_first_line(answer: bytes, line: bytes) -> bytes:
    """Return an answer with another first line."""
    return line + b"\r\n" + answer.partition(b"\r\n")[2]
