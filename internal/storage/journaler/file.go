package journaler

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// ReplaceFile replaces a small file atomically: after a crash it holds either
// the old or the new content, complete. When it returns without an error, the
// new content survives a power loss.
func ReplaceFile(folder, name string, data []byte) (err error) {
	f, err := os.CreateTemp(folder, name+".*.tmp")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, ignoreMissing(os.Remove(f.Name())))
		}
	}()
	if _, err = f.Write(data); err != nil {
		return errors.Join(err, f.Close())
	}
	if err = f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	if err = f.Close(); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), filepath.Join(folder, name)); err != nil {
		return err
	}
	return syncFolder(folder)
}

func ignoreMissing(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
