"""Tests of the platform's list of VMs."""

import unittest

from godwitflow.model import errors
from godwitflow.store import vms

SOUND = vms.Vm("n1", "d1", "tcp://10.0.0.1:7740")


class VmsTest(unittest.TestCase):
    def test_list_is_decoded_as_it_was_encoded(self):
        listed = (SOUND, vms.Vm("n2", "d2", "tcp://10.0.0.2:7740", True))
        self.assertEqual(listed, vms.decode(vms.encode(listed)))
        self.assertEqual((), vms.decode(vms.encode(())))

    def test_odd_entry_hides_no_other(self):
        # The whole list was refused, or its reader failed on deep nesting.
        sound = vms.encode((SOUND,))[1:-1]
        for odd in (
            b"[" * 2_000 + b"]" * 2_000,
            b'{"vm":"\\udcff"}',
            b'{"vm":1e400}',
            b'{"vm":"n2"}',
            b"null",
        ):
            for raw in (b"[%b,%b]" % (odd, sound), b"[%b,%b]" % (sound, odd)):
                self.assertEqual((SOUND,), vms.decode(raw), odd[:20])

    def test_what_is_no_list_is_an_error(self):
        for raw in (b"", b"{}", b"[", b"7", b"\xff"):
            with self.assertRaises(errors.CodecError):
                vms.decode(raw)
