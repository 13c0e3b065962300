"""Generated thrift code."""
