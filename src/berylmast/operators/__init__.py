"""The operators' side: the document, its checks, the admin API, the command line."""

from .document import DocumentError, make_slice, parse_document
from .models import Document

__all__ = ["Document", "DocumentError", "make_slice", "parse_document"]
