"""What this daemon knows of services and their backend servers, and how it spreads."""

from .directory import Directory
from .links import ControlMeter, make_dial
from .member import Member, Place

__all__ = ["ControlMeter", "Directory", "Member", "Place", "make_dial"]
