"""Codecs, pure and incremental: bytes and text in, messages out, and errors that name the fault."""
