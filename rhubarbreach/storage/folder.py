"""Lock of a data folder and the identity of its store."""

import fcntl
import os
import pathlib
import uuid

from rhubarbreach import exceptions
from rhubarbreach.storage import files

__all__ = ['DataFolder']

LOCK_NAME = 'lock'
IDENTITY_NAME = 'store-id'


class DataFolder:
    """Data folder that this object locks until it is closed.

    A new folder gets a random store identity. A store whose data was lost
    therefore gets another identity and cannot be mistaken for the former
    store.

    Parameters
    ----------
    path : str or pathlib.Path
        Folder; created if missing.
    with_identity : bool
        Whether to read the identity, or to create it on first use.

    Raises
    ------
    DataFolderError
        If the folder cannot be used or another process has locked it.
    """

    def __init__(self, path, with_identity=True):
        self.path = pathlib.Path(path)
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            self.descriptor = os.open(
                self.path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600
            )
        except OSError as error:
            raise exceptions.DataFolderError(
                f'data folder is not usable: {path}: {error.strerror}'
            ) from error
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.descriptor)
            raise exceptions.DataFolderError(
                f'data folder is used by another process: {path}'
            ) from error
        self.store_id = None
        if with_identity:
            try:
                self.store_id = self.load_identity()
            except BaseException:
                self.close()
                raise

    def load_identity(self):
        """Return the store identity; create it on first use."""
        path = self.path / IDENTITY_NAME
        data = files.read_file(path)
        if data is None:
            data = uuid.uuid4().hex.encode()
            files.replace_file(path, data)
            files.sync_folder(self.path.parent)
        return bytes(data).decode()

    def close(self):
        """Release the lock."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None
