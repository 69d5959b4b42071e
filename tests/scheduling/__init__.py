"""Tests of the decisions in `balsamdale.scheduling`."""
