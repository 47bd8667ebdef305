"""Assigns engines to the prefill and decode stages and sends the orders."""
