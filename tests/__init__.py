"""Tests of balsamdale; the modules mirror the package."""
