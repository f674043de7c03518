"""The newest accepted configuration revision, everywhere, never backwards."""
