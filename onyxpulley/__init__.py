"""onyxpulley: the decisions of a cache router."""

from onyxpulley.router import Router

__all__ = ["Router"]
