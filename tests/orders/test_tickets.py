import unittest

from hypothesis import given
from hypothesis import strategies as st

from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.orders.tickets import make_ticket, parse_ticket

SECRET = b"s" * 32
numbers = st.integers(min_value=0, max_value=2**63 - 1)


class TicketTest(unittest.TestCase):
    @given(numbers, numbers, st.integers(min_value=1, max_value=65_535))
    def test_ticket_round_trips_through_its_text(self, boot, sequence, port):
        ticket = make_ticket(f"10.1.2.3:{port}", boot, sequence, SECRET)
        parsed = parse_ticket(ticket.text)
        self.assertEqual(parsed, ticket)
        self.assertTrue(parsed.is_authentic(SECRET))
        self.assertFalse(parsed.is_authentic(b"t" * 32))

    @given(st.one_of(st.text(), st.text().map(lambda text: "d1." + text)))
    def test_other_texts_raise_ticket_invalid(self, text):
        with self.assertRaises(ProxyError) as caught:
            parse_ticket(text)
        self.assertIs(caught.exception.kind, ErrorKind.TICKET_INVALID)

    @given(st.integers(min_value=3, max_value=52), st.characters())
    def test_changed_ticket_is_not_authentic(self, index, character):
        text = make_ticket("10.1.2.3:9", 5, 6, SECRET).text
        changed = text[:index] + character + text[index + 1 :]
        if changed == text:
            return
        try:
            parsed = parse_ticket(changed)
        except ProxyError:
            return
        self.assertFalse(parsed.is_authentic(SECRET))
