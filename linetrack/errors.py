"""The root of linetrack's exceptions; it imports nothing, so that every package may build on it."""


class LinetrackError(Exception):
    """Base of all errors that linetrack defines."""
