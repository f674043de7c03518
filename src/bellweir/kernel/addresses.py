"""Splits addresses of the form HOST:PORT, which other writers may have made.

>>> split_address("10.1.0.38:8149"), split_address("[::1]:80")
(('10.1.0.38', 8149), ('::1', 80))
>>> split_address("10.1.0.38:65536")
Traceback (most recent call last):
...
bellweir.kernel.addresses.AddressError: address is not HOST:PORT
"""

import re

MAX_PORT = 65_535
_LABEL = r"[0-9A-Za-z_-]{1,63}"
_ADDRESS = re.compile(
    r"(?:\[(?P<bracketed>[0-9A-Fa-f:.]{2,45}(?:%[\w.-]{1,16})?)\]"
    r"|(?P<plain>[0-9A-Fa-f:.]{0,45}:[0-9A-Fa-f:.]{0,45})"
    rf"|(?P<name>(?=.{{1,253}}:){_LABEL}(?:\.{_LABEL})*\.?)"
    r"):(?P<port>[0-9]{1,5})",
    re.ASCII,
)


class AddressError(OSError):
    """An address at which nobody can be reached; the message does not hold it."""


def split_address(address: str) -> tuple[str, int]:
    """Return host, without brackets, and port, 1 to 65,535. Raises `AddressError`.

    Others make socket calls raise `OverflowError` or `UnicodeError`, or reach a port modulo 65,536.
    """
    found = _ADDRESS.fullmatch(address)
    port = 0 if found is None else int(found["port"])
    if found is None or not 0 < port <= MAX_PORT:
        raise AddressError("address is not HOST:PORT")
    return found["bracketed"] or found["plain"] or found["name"], port
