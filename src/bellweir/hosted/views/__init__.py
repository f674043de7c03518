"""Views of the object store: the active configuration and the live workers."""
