"""The customers of a configuration, and the keys that identify them.

Keys are kept as digests only, so that no copy, log line or message between
nodes holds a key.
"""

import collections
import dataclasses
import enum
import hashlib
import typing

from godwitflow.model import ids

DIGEST_BYTES = 16
MAX_KEY_BYTES = 1_024
SCHEME = b"token"


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """How many requests a customer may make, over all nodes.

    That is ``rate_per_s`` requests a second, and ``burst`` more at once.
    """

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer; without a ``quota`` its requests are not limited.

    ``priority``, if there is one, replaces that of the route.
    """

    name: ids.CustomerName
    key_digests: tuple[ids.KeyDigest, ...]
    priority: ids.Rank | None = None
    quota: Quota | None = None


class KeyDefect(enum.Enum):
    """Why a request's credentials name no customer; the values are logged."""

    MISSING = "no key"
    SEVERAL = "several keys"
    SCHEME = "another scheme"
    MALFORMED = "malformed key"
    UNKNOWN = "unknown key"


def key_digest(key: bytes) -> ids.KeyDigest:
    """Return the digest under which a key is stored and compared."""
    digest = hashlib.blake2b(key, digest_size=DIGEST_BYTES)
    return ids.KeyDigest(digest.hexdigest())


def read_key(values: typing.Sequence[bytes]) -> bytes | KeyDefect:
    """Return the key in the values of a request's Authorization headers.

    The scheme is compared without regard to case. Several headers are
    refused, as it is not clear who is meant.

    >>> read_key([b"Token abc"])
    b'abc'
    >>> read_key([b"Basic abc"])
    <KeyDefect.SCHEME: 'another scheme'>
    """
    if not values:
        return KeyDefect.MISSING
    if len(values) > 1:
        return KeyDefect.SEVERAL
    words = values[0].split()
    if not words:
        return KeyDefect.MISSING
    if words[0].lower() != SCHEME:
        return KeyDefect.SCHEME
    if len(words) != 2 or len(words[1]) > MAX_KEY_BYTES:
        return KeyDefect.MALFORMED
    return words[1]


class CustomerTable:
    """Finds customers by key.

    A key of several customers identifies the first of them in the order of
    the configuration, on every node; ``shared_names`` has all of them.
    """

    def __init__(self, customers: typing.Iterable[Customer]) -> None:
        self._by_digest: dict[ids.KeyDigest, Customer] = {}
        holders: dict[ids.KeyDigest, set[ids.CustomerName]] = (
            collections.defaultdict(set)
        )
        for customer in customers:
            for digest in customer.key_digests:
                self._by_digest.setdefault(digest, customer)
                holders[digest].add(customer.name)
        self.shared_names = sorted(
            {
                name
                for names in holders.values()
                if len(names) > 1
                for name in names
            }
        )

    def identify(self, values: typing.Sequence[bytes]) -> Customer | KeyDefect:
        """Return the customer named by a request's Authorization headers."""
        key = read_key(values)
        if isinstance(key, KeyDefect):
            return key
        return self._by_digest.get(key_digest(key), KeyDefect.UNKNOWN)
