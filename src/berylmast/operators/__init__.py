"""Operator interfaces: the document and its validation, and the admin HTTP API."""

from .document import DocumentError, make_slice, parse_document
from .models import Document

__all__ = ["Document", "DocumentError", "make_slice", "parse_document"]
