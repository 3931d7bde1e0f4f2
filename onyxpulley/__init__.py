"""onyxpulley: the decisions of a cache router."""

from onyxpulley.control import Router

__all__ = ["Router"]
