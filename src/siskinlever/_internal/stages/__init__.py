"""Assigns engines to the prefill and decode stages and sends the resulting orders."""
