"""Define the errors that users see as a message without a traceback."""


class UserError(Exception):
    """An error that the user can fix; shown without a traceback."""


class SettingsError(UserError):
    """A settings file has errors; the message lists each with its position."""


class ApiError(UserError):
    """A call of the operators' API was refused or didn't reach a daemon."""
