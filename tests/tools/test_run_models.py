"""Tests of the check of the Promela models."""

import tempfile
import unittest
from pathlib import Path

from tools.run_models import list_variants


class ListVariantsTest(unittest.TestCase):
    """A variant that is not listed would never be run, and the check would pass."""

    def test_both_kinds_of_variant_are_listed_once(self):
        text = (
            "#ifdef BROKEN_RULE\n#endif\n#ifndef BROKEN_RULE\n#endif\n"
            "#ifdef REACHED_STEP\n#endif\n#define REVOKE 2\n"
        )
        with tempfile.TemporaryDirectory() as directory:
            model = Path(directory) / "model.pml"
            model.write_text(text)
            self.assertEqual(list_variants(model), ["BROKEN_RULE", "REACHED_STEP"])
