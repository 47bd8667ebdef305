"""Stateful fuzzing of the decisions against simple oracles."""
