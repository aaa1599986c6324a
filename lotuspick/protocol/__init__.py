"""Codecs: pure functions and incremental decoders that convert bytes and text to messages and back."""
