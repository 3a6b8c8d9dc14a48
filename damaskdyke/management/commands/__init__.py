"""Commands, one in each module; the module's name is that of the command."""
