"""The base class of linetrack's exceptions; it imports nothing, so that every package can import it."""


class LinetrackError(Exception):
    """Base class of all exceptions that linetrack defines."""
