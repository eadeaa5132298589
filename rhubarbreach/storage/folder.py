"""Exclusive use of a data folder and the identity of its store."""

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
    """A data folder that is locked by this object until it is closed.

    A new folder gets a random store identity. A folder whose content was
    lost therefore gets another one, and its store cannot be taken for the
    former store.

    Parameters
    ----------
    path : str or pathlib.Path
        Folder; it is made when missing.
    with_identity : bool
        Whether the identity is read, or made on first use.

    Raises
    ------
    DataFolderError
        If the folder cannot be used or is locked.
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
                f'data folder is not usable: {error.strerror}'
            ) from error
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.descriptor)
            raise exceptions.DataFolderError(
                'data folder is used by another process'
            ) from error
        self.store_id = None
        if with_identity:
            try:
                self.store_id = self.load_identity()
            except BaseException:
                self.close()
                raise

    def load_identity(self):
        """Return the store identity, made on first use."""
        path = self.path / IDENTITY_NAME
        data = files.read_file(path)
        if data is None:
            data = uuid.uuid4().hex.encode()
            files.replace_file(path, data)
            files.sync_folder(self.path.parent)
        return data.decode()

    def close(self):
        """Release the lock."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None
