import unittest

from damaskdyke.testbed.networks import reserve_network


class ReserveNetworkTest(unittest.TestCase):
    def test_network_is_reserved_once(self):
        networks = [self.enterContext(reserve_network()) for _ in range(50)]
        self.assertEqual(len(set(networks)), 50)
