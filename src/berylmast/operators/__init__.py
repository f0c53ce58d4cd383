"""The operators' side: the document, its checks, the admin API, the command line."""

from .document import Document, DocumentError, make_slice, parse_document

__all__ = ["Document", "DocumentError", "make_slice", "parse_document"]
