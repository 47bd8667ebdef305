"""Implementation of siskinlever; nothing here is a public interface."""
