"""Heads of answers that break the grammar of HTTP/1.1, or do not frame their body."""

from __future__ import annotations

from standins import answerendings

_CONNECTION = answerendings.Framing.CONNECTION
_CHUNKS = answerendings.Framing.CHUNKS

STATUS_LINES = {
    "status 000": "HTTP/1.1 000 OK",
    "status 099": "HTTP/1.1 099 OK",
    "status 600": "HTTP/1.1 600 OK",
    "status of two digits": "HTTP/1.1 20 OK",
    "status of four digits": "HTTP/1.1 0200 OK",
    "status with a sign": "HTTP/1.1 +200 OK",
    "status with an underscore": "HTTP/1.1 2_00 OK",
    "status with a letter": "HTTP/1.1 20x OK",
    "status after two blanks": "HTTP/1.1  200 OK",
    "status without a blank": "HTTP/1.1 200OK",
    "control byte in the reason": "HTTP/1.1 200 O\0K",
    "carriage return in the reason": "HTTP/1.1 200 O\rK",
    "version with a letter": "HTTP/1.x 200 OK",
    "version 2": "HTTP/2.0 200 OK",
    "lower-case version": "http/1.1 200 OK",
}

LENGTHS = {
    "length with a letter": "Content-Length: 6x",
    "length with a sign": "Content-Length: +6",
    "negative length": "Content-Length: -6",
    "length with an underscore": "Content-Length: 0_6",
    "length in hexadecimal": "Content-Length: 0x6",
    "length with a fraction": "Content-Length: 6.0",
    "empty length": "Content-Length:",
    "two lengths in a field": "Content-Length: 6, 2",
    "a length twice in a field": "Content-Length: 6, 6",
    "two fields with lengths": "Content-Length: 6\r\nContent-Length: 2",
    "length of 5,000 digits": "Content-Length: " + "9" * 5_000,
    "length with a blank inside": "Content-Length: 6 6",
    "length after a no-break space": "Content-Length: \xa06",
    "unknown transfer coding": "Transfer-Encoding: chunke",
    "empty transfer coding": "Transfer-Encoding:",
    "two transfer codings": "Transfer-Encoding: gzip, chunked",
    "identity": "Transfer-Encoding: identity",
}
"""Fields that do not tell the length of a body, beside none that does."""

LINES = {
    "no colon": "Content-Length 6",
    "no field": "6f 1a zz",
    "blank before the colon": "Content-Length : 6",
    "tab before the colon": "Content-Length\t: 6",
    "blank in a name": "Content Length: 6",
    "tab in a name": "Content\tLength: 6",
    "zero byte in a name": "Content-\0Length: 6",
    "control byte in a name": "Content-\x01Length: 6",
    "delete in a name": "X-Name\x7f: 1",
    "byte above ASCII in a name": "X-N\xe4me: 1",
    "parenthesis in a name": "X(Name): 1",
    "no name": ": 1",
    "continued field": "X-Name: 1\r\n 2",
    "line that begins with a tab": "\tX-Name: 1",
    "zero byte in a value": "X-Name: 1\0",
    "control byte in a value": "X-Name: \x1b[2J",
    "carriage return in a value": "X-Name: 1\rContent-Length: 2",
    "another status line": "HTTP/1.1 200 OK",
}
"""Lines that are no fields."""

INVALID = (
    {
        name: answerendings.Ending(_CHUNKS, has_end_mark=True, status_line=line)
        for name, line in STATUS_LINES.items()
    }
    | {
        name: answerendings.Ending(_CONNECTION, headers=line)
        for name, line in (LENGTHS | LINES).items()
    }
    | {
        f"{name}, in chunks": answerendings.Ending(
            _CHUNKS, has_end_mark=True, headers=line
        )
        for name, line in LINES.items()
    }
    | {
        "length beside chunks": answerendings.Ending(
            _CHUNKS, has_end_mark=True, headers="Content-Length: 6"
        ),
        "chunks twice": answerendings.Ending(
            _CHUNKS, has_end_mark=True, headers="Transfer-Encoding: chunked"
        ),
        "chunks in HTTP/1.0": answerendings.Ending(
            _CHUNKS, has_end_mark=True, status_line="HTTP/1.0 200 OK"
        ),
    }
)
"""Ways in which an answer ends, of which each has an invalid head, by name."""

VALID = {
    "no reason": answerendings.Ending(
        _CHUNKS, has_end_mark=True, status_line="HTTP/1.1 200 "
    ),
    "neither reason nor blank": answerendings.Ending(
        _CHUNKS, has_end_mark=True, status_line="HTTP/1.1 200"
    ),
    "HTTP/1.0": answerendings.Ending(_CONNECTION, status_line="HTTP/1.0 200 OK"),
    "minor version 2": answerendings.Ending(
        _CHUNKS, has_end_mark=True, status_line="HTTP/1.2 200 OK"
    ),
    "bytes above ASCII in a value": answerendings.Ending(
        _CONNECTION, headers="X-Name: \xe4\t1"
    ),
    "blanks around a value": answerendings.Ending(
        _CONNECTION, headers="X-Name:\t 1 \t"
    ),
    "empty value": answerendings.Ending(_CONNECTION, headers="X-Name:"),
    "every character of a name": answerendings.Ending(
        _CONNECTION, headers="!#$%&'*+-.^_`|~09azAZ: 1"
    ),
}
"""Valid heads that are rare."""
