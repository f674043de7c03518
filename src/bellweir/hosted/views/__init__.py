"""Views of the object store: the configuration in force and the live workers."""
