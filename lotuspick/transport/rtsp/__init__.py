"""RTSP transport for viewers."""
