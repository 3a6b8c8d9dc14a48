import unittest
from pathlib import Path

from damaskdyke.core.errors import ERROR_ANSWERS, ErrorKind
from damaskdyke.orders.messages import ERROR_KINDS, Outcome
from tools.write_errors import PAGE, make_page


class AnswerTableTest(unittest.TestCase):
    def test_every_kind_has_one_answer(self):
        self.assertEqual(set(ERROR_ANSWERS), set(ErrorKind))

    def test_reference_page_matches_the_table(self):
        self.assertEqual(Path(PAGE).read_text(), make_page())

    def test_every_outcome_without_a_reply_has_a_kind(self):
        self.assertEqual(set(ERROR_KINDS), set(Outcome) - {Outcome.ANSWERED})
