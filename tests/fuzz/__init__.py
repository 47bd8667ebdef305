"""Stateful fuzz tests that compare decision logic with simple reference models."""
