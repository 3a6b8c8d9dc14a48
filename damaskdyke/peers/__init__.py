"""Thrift calls between proxies."""
