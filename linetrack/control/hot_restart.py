"""The steps of a replacement: what the process that serves does next, and what the one that takes its place.

Both sides are told what came over the link between them, and when; each answer is the list of things that
the host is to do, in order.  Owns the order of steps, their time limits and the way back from each.  Must
never read a clock or touch a socket.  At any moment one of the two accepts whoever comes, whichever ends
or hangs.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

VERSION = 1  # of what is said over the link; another one is not understood
MS, SECOND = 1000, 1_000_000
READY_WITHIN = 10 * SECOND  # from the grant until the new process must have said that it is ready
GRANTED_WITHIN = 3 * SECOND  # from a call until its answer
CALL_FOR = 5 * SECOND  # while the old process is busy with another one
CALL_AGAIN = 100 * MS
BEAT = 250 * MS  # how often the old process says that it still serves
SILENT = 2 * SECOND  # without a word of it, after which it is taken to hang
NEVER = 1 << 62


@dataclass(slots=True, frozen=True)
class Identity:
    """Whose process it is, beside its name and address."""

    classes: tuple[str, ...]
    settings: str  # a digest

    def told(self) -> dict[str, Any]:
        return {"classes": self.classes, "settings": self.settings}

    def foreign(self, told: object) -> bool:
        """Whether what the other side told of itself is another customer's: other settings, and no class in
        common.  One of an earlier version tells nothing, and one whose settings have changed keeps some."""
        if not isinstance(told, dict) or not isinstance(theirs := told.get("classes"), list):
            return False
        return told.get("settings") != self.settings and not any(name in self.classes for name in theirs)


class Command(Enum):
    # the old process
    GRANT = "give the listening socket and the list"
    SAY_BUSY = "tell the caller to come again, and close"
    SAY_FOREIGN = "tell the caller that this is another one's process, and close"
    CLOSE = "close the link"
    BEAT = "say that this side still serves"
    HAND_ON = "accept no more, tell what was learnt, hand the connections over"
    KEEP = "accept again and serve what is left"
    LEAVE = "leave as without a successor"
    # the new process
    CALL = "call the one that serves"
    LISTEN = "listen as in an ordinary start"
    SAY_READY = "tell that all is prepared"
    ACCEPT = "accept, and be found by the next one"
    WHOLE = "all limits are this process's"
    GIVE_UP = "end: another process takes over or serves"


class PredecessorStateMachine:
    """The side that serves; it changes nothing until it is told to leave."""

    class State(Enum):
        SERVING = "nobody takes over"
        GRANTED = "one prepares to"
        READY = "one stands by"
        HANDING = "what is here goes over"
        LEAVING = "leaving without a successor"

    def __init__(self) -> None:
        self.state, self.due, self.limit = self.State.SERVING, NEVER, NEVER

    def called(self, now: int, version: object, foreign: bool = False) -> list[Command]:
        if foreign:
            # guards against a customer served, and its list and ids known, by another one's process
            return [Command.SAY_FOREIGN]
        if self.state is not self.State.SERVING:
            return [Command.SAY_BUSY]
        if version != VERSION:
            return [Command.CLOSE]
        self.state, self.limit, self.due = self.State.GRANTED, now + READY_WITHIN, now + BEAT
        return [Command.GRANT]

    def ready(self) -> list[Command]:
        if self.state is self.State.GRANTED:
            self.state, self.limit = self.State.READY, NEVER
        return []

    def lost(self) -> list[Command]:
        """The link has ended."""
        self.due = self.limit = NEVER
        if self.state in (self.State.GRANTED, self.State.READY):
            self.state = self.State.SERVING
        elif self.state is self.State.HANDING:
            self.state = self.State.LEAVING
            return [Command.KEEP]
        return []

    def leave(self) -> list[Command]:
        """This process is to end."""
        if self.state in (self.State.GRANTED, self.State.READY):
            # one that only prepares holds the listening socket already: whoever comes waits in its queue
            self.state, self.due, self.limit = self.State.HANDING, NEVER, NEVER
            return [Command.HAND_ON]
        if self.state is self.State.SERVING:
            self.state = self.State.LEAVING
            return [Command.LEAVE]
        return []

    def tick(self, now: int) -> list[Command]:
        if now >= self.limit:
            # guards against a new process that hangs: its place is free for another one
            return [Command.CLOSE, *self.lost()]
        if now >= self.due:
            self.due = now + BEAT
            return [Command.BEAT]
        return []


class SuccessorStateMachine:
    """The side that takes over."""

    class State(Enum):
        CALLING = "it asks whether somebody serves"
        PREPARING = "it has the listening socket and learns the list"
        STANDING_BY = "it could serve"
        ACCEPTING = "it serves; the other one ends what it has"
        ALONE = "nobody else does"
        GAVE_UP = "there was no way"

    def __init__(self, now: int) -> None:
        self.state, self.due, self.until = self.State.CALLING, now, now + CALL_FOR
        self.prepared_ = self.met_stranger = False

    def start(self, now: int) -> list[Command]:
        self.due = now + GRANTED_WITHIN
        return [Command.CALL]

    def nobody(self) -> list[Command]:
        """Nobody is found there, or whoever was has gone before it granted anything."""
        self.state, self.due = self.State.ALONE, NEVER
        return [Command.LISTEN]

    def stranger(self) -> list[Command]:
        """Whoever is found there is another customer's, which stays as it is and found."""
        self.met_stranger = True
        return self.nobody()

    def taken(self, now: int) -> list[Command]:
        """Nobody was found and the address is not free: whoever has it may be about to be found."""
        # guards against a call that met the old process as it ended, before its successor could be found
        self.state = self.State.CALLING
        return self._give_up() if now + CALL_AGAIN >= self.until else self.busy(now)

    def busy(self, now: int) -> list[Command]:
        if now >= self.until:
            return self._give_up()
        self.due = now + CALL_AGAIN
        return []

    def _give_up(self) -> list[Command]:
        self.state, self.due = self.State.GAVE_UP, NEVER
        return [Command.GIVE_UP]

    def granted(self, now: int) -> list[Command]:
        self.state, self.due = self.State.PREPARING, now + SILENT
        return []

    def prepared(self) -> list[Command]:
        """All that serving needs is here."""
        self.prepared_ = True
        if self.state is self.State.PREPARING:
            self.state = self.State.STANDING_BY
            return [Command.SAY_READY]
        return self._accept()

    def heard(self, now: int) -> list[Command]:
        """The other side still serves."""
        if self.state in (self.State.PREPARING, self.State.STANDING_BY):
            self.due = now + SILENT
        return []

    def left(self) -> list[Command]:
        """The other side accepts no more."""
        return self._take()

    def lost(self) -> list[Command]:
        """The link has ended: the other side has, or is about to."""
        if self.state is self.State.CALLING:
            return self.nobody()
        do = self._take()
        self.state, self.due = self.State.ALONE, NEVER
        return [*do, Command.WHOLE]

    def tick(self, now: int) -> list[Command]:
        if now < self.due:
            return []
        if self.state is self.State.CALLING:
            if now >= self.until:
                return self.busy(now)
            return self.start(now)
        # guards against an old process that hangs with the only listener that is accepted from
        return self._take()

    def _take(self) -> list[Command]:
        if self.state not in (self.State.PREPARING, self.State.STANDING_BY):
            return []
        self.state, self.due = self.State.ACCEPTING, NEVER
        return self._accept()

    def _accept(self) -> list[Command]:
        """At the later of two moments: it is its turn, and it is prepared."""
        turn = self.state in (self.State.ACCEPTING, self.State.ALONE)
        return [Command.ACCEPT] if turn and self.prepared_ else []
