"""Small stand-ins for the systems that siskinlever talks to."""
