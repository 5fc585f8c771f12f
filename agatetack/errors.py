"""Define the errors that a user sees as one line."""


class UserError(Exception):
    """A mistake the user can mend; shown as one line, never a traceback."""


class SettingsError(UserError):
    """A settings file has findings; the message lists each with its place."""


class ApiError(UserError):
    """An operators' call was refused or could not reach a daemon."""
