"""latchgrade: the decisions of a cache router."""

from latchgrade.control import Router

__all__ = ["Router"]
