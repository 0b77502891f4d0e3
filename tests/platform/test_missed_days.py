"""The list of failed days in entries of the bench's journal."""

import json

import missed_days


def test_missed_floor_without_a_broken_rule_is_listed(tmp_path, capsys):
    """A hunt reported such a day as "0 with a rule broken"."""
    days = [
        {"name": "quiet-1", "gate": True, "short": [], "rules": {}},
        {"name": "trouble-3", "gate": False, "short": ["0.22"], "rules": {}},
        {"name": "cuts", "gate": False, "short": [], "rules": {"TWO": 1}},
        {"name": "scale-1", "gate": False, "rules": {}, "fault": None},
    ]
    entry = tmp_path / "entry.json"
    entry.write_text(json.dumps({"site": "site", "days": days}))
    assert missed_days.main([str(entry)]) == 1
    assert capsys.readouterr().out.splitlines() == [
        "entry.json: site trouble-3: 0.22",
        "entry.json: site cuts: TWO",
        "entry.json: site scale-1: the gate failed",
        "3 of 4 days failed",
    ]


def test_days_that_passed_are_not_listed(tmp_path, capsys):
    entry = tmp_path / "entry.json"
    entry.write_text(json.dumps({"days": [{"name": "x", "gate": True}]}))
    assert missed_days.main([str(entry)]) == 0
    assert capsys.readouterr().out == "0 of 1 days failed\n"
