package journaler

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Folder is the file system that a Journal uses. Names are plain file names
// without a path.
type Folder interface {
	// Create creates an empty file for appending, replacing an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Read returns the content of a file. The error is fs.ErrNotExist when the
	// file doesn't exist.
	Read(name string) ([]byte, error)
	// Rename moves a file atomically.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of the files.
	List() ([]string, error)
	// Sync makes creations, renames and removals durable.
	Sync() error
	// Close releases the folder.
	Close() error
}

// File is an open file that is only appended to, except when a torn tail is cut
// off.
type File interface {
	io.Writer
	// Sync makes the content durable.
	Sync() error
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
	// Close closes the file without making it durable.
	Close() error
}

// ErrLocked is returned when another process uses the data folder.
var ErrLocked = errors.New("data folder is in use by another process")

const (
	lockName   = "lock"
	folderMode = 0o750
	fileMode   = 0o640
)

// Directory is a Folder on a real file system.
type Directory struct {
	path   string
	handle *os.File
	lock   *os.File
}

// OpenDirectory creates the directory if needed and locks it until Close. The
// error is ErrLocked when another process holds the lock.
func OpenDirectory(path string) (*Directory, error) {
	if err := makeDirectory(path); err != nil {
		return nil, err
	}
	l, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := unix.Flock(int(l.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		if errors.Is(err, unix.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, errors.Join(fmt.Errorf("lock %s: %w", path, err), l.Close())
	}
	h, err := os.Open(path)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open data folder: %w", err), l.Close())
	}
	return &Directory{path: path, handle: h, lock: l}, nil
}

// makeDirectory creates the directory and makes its entry in the parent
// durable.
func makeDirectory(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	if err := os.MkdirAll(path, folderMode); err != nil {
		return fmt.Errorf("make data folder: %w", err)
	}
	p, err := os.Open(filepath.Dir(filepath.Clean(path)))
	if err != nil {
		return fmt.Errorf("open parent of data folder: %w", err)
	}
	return errors.Join(p.Sync(), p.Close())
}

// Create creates an empty file, replacing an existing one.
func (d *Directory) Create(name string) (File, error) {
	return os.OpenFile(d.join(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append opens an existing file.
func (d *Directory) Append(name string) (File, error) {
	return os.OpenFile(d.join(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Read returns the content of a file.
func (d *Directory) Read(name string) ([]byte, error) { return os.ReadFile(d.join(name)) }

// Rename moves a file.
func (d *Directory) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

// Remove deletes a file.
func (d *Directory) Remove(name string) error { return os.Remove(d.join(name)) }

// List returns the file names without that of the lock file.
func (d *Directory) List() ([]string, error) {
	es, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range es {
		if e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Sync makes creations, renames and removals durable.
func (d *Directory) Sync() error { return d.handle.Sync() }

// Close releases the lock and closes the directory.
func (d *Directory) Close() error { return errors.Join(d.handle.Close(), d.lock.Close()) }

func (d *Directory) join(name string) string { return filepath.Join(d.path, name) }
