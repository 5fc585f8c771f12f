"""Check that the demo answers every class of requests."""

from agatetack import demo


async def test_the_demo_answers_every_class(monkeypatch, capsys):
    monkeypatch.setattr(demo, "REQUESTS_PER_CLASS", 4)
    assert await demo.run_demo()
    table = capsys.readouterr().out
    for name in ("fast", "once", "whole", "deferred"):
        assert f"\n{name} " in table
    assert table.count("200:4") == 4
