"""The ages of the news in messages.

A message says how old its news was when it was sent.
"""

import typing

import msgspec

from godwitflow.wire import messages

News = typing.TypeVar(
    "News",
    messages.KindRevision,
    messages.LimitReport,
    messages.PermitWant,
    messages.Suspicion,
)


def add(message: messages.Message, waited_ms: float) -> messages.Message:
    """Return a message whose news is older by the time that it waited.

    Answers to requests are not changed: who asked knows when.

    >>> news = messages.KindRevision("servers", 7, True, 20.0)
    >>> add(messages.Revisions((news,)), 500.0).kinds[0].age_ms
    520.0
    """
    match message:
        case messages.Revisions(kinds):
            return messages.Revisions(_older(kinds, waited_ms))
        case messages.LimitReports(reports):
            return messages.LimitReports(_older(reports, waited_ms))
        case messages.PermitRequest(standby, wants):
            return messages.PermitRequest(standby, _older(wants, waited_ms))
        case messages.Suspicions(entries):
            return messages.Suspicions(_older(entries, waited_ms))
        case _:
            return message


def _older(news: tuple[News, ...], waited_ms: float) -> tuple[News, ...]:
    return tuple(
        msgspec.structs.replace(item, age_ms=item.age_ms + waited_ms)
        for item in news
    )
