"""What this daemon knows of services and their backend servers, and how it spreads."""

from .directory import Directory
from .finder import Place
from .links import ControlMeter, make_dial
from .member import Member

__all__ = ["ControlMeter", "Directory", "Member", "Place", "make_dial"]
