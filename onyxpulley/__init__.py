"""A request router for cache clusters. `Router` makes its routing decisions."""

from onyxpulley.router import Router

__all__ = ["Router"]
