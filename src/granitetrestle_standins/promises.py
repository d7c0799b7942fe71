"""The error of the model worlds' checks."""

__all__ = ["PromiseBroken"]


class PromiseBroken(AssertionError):
    """A task ran, began or ended in a way that the scheduler promises to prevent."""
