"""Tests of logs, metrics and the pages for operators."""
