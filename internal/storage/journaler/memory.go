package journaler

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
)

// ErrInjected is returned by a Memory whose writes or syncs were told to fail.
var ErrInjected = errors.New("injected disk fault")

// Memory is a Folder in memory that keeps apart what is durable and what a
// power loss takes away. Fault tests use it in place of a Directory.
type Memory struct {
	mu sync.Mutex
	// current is what the process sees, durable what is left after Crash.
	current map[string]*image
	durable map[string]*image
	// epoch grades open files: those of an earlier epoch return errors.
	epoch int
	full  bool
	// room is how many bytes may still be written; less than 0 for no bound.
	room     int
	failing  bool
	ignoring bool
}

// image is the content of a file.
type image struct {
	data []byte
	// synced is the part of data that survives a crash for certain.
	synced []byte
}

// NewMemory returns an empty folder.
func NewMemory() *Memory {
	return &Memory{current: map[string]*image{}, durable: map[string]*image{}, room: -1}
}

// FailSync makes every later sync fail.
func (m *Memory) FailSync(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = on
}

// Fill makes every later write and new file fail for want of room.
func (m *Memory) Fill(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full = on
}

// Bound leaves room for so many bytes, of which a write that doesn't fit takes what there
// is; less than 0 for no bound.
func (m *Memory) Bound(room int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.room = room
}

// take returns how many of n bytes fit. The caller holds mu.
func (m *Memory) take(n int) int {
	if m.room < 0 {
		return n
	}
	n = min(n, m.room)
	m.room -= n
	return n
}

// IgnoreSync makes every later sync succeed without effect, like a disk that
// lies. It exists to show that the fault tests notice lost writes.
func (m *Memory) IgnoreSync(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ignoring = on
}

// Crash drops what was not synced. A random part of the unsynced tail of a
// file may survive, possibly with damaged bytes, as after a power loss.
func (m *Memory) Crash(r *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epoch++
	m.current = map[string]*image{}
	names := make([]string, 0, len(m.durable))
	for n := range m.durable {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		i := m.durable[n]
		kept := slices.Clone(i.synced)
		if extra := len(i.data) - len(i.synced); extra > 0 {
			kept = append(kept, i.data[len(i.synced):len(i.synced)+r.IntN(extra+1)]...)
			if torn := len(kept) - len(i.synced); torn > 0 && r.IntN(2) == 0 {
				kept[len(i.synced)+r.IntN(torn)] ^= 0xff
			}
		}
		m.current[n] = &image{data: kept, synced: slices.Clone(kept)}
	}
	m.durable = map[string]*image{}
	for n, i := range m.current {
		m.durable[n] = i
	}
}

// Wipe loses the whole disk.
func (m *Memory) Wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epoch++
	m.current = map[string]*image{}
	m.durable = map[string]*image{}
}

// Damage flips a byte of a file.
func (m *Memory) Damage(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current[name].data[offset] ^= 0xff
}

// Create makes an empty file.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.full || m.room == 0 {
		return nil, syscall.ENOSPC
	}
	i := &image{}
	m.current[name] = i
	return &memoryFile{folder: m, image: i, epoch: m.epoch}, nil
}

// Append opens an existing file.
func (m *Memory) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, found := m.current[name]
	if !found {
		return nil, fmt.Errorf("append to %s: %w", name, fs.ErrNotExist)
	}
	return &memoryFile{folder: m, image: i, epoch: m.epoch}, nil
}

// Read returns the content of a file.
func (m *Memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, found := m.current[name]
	if !found {
		return nil, fmt.Errorf("read %s: %w", name, fs.ErrNotExist)
	}
	return slices.Clone(i.data), nil
}

// Rename moves a file.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, found := m.current[from]
	if !found {
		return fmt.Errorf("rename %s: %w", from, fs.ErrNotExist)
	}
	delete(m.current, from)
	m.current[to] = i
	return nil
}

// Remove deletes a file.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.current, name)
	return nil
}

// List returns the file names in order.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.current))
	for n := range m.current {
		names = append(names, n)
	}
	slices.Sort(names)
	return names, nil
}

// Sync makes the list of files durable.
func (m *Memory) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing {
		return ErrInjected
	}
	if m.ignoring {
		return nil
	}
	m.durable = map[string]*image{}
	for n, i := range m.current {
		m.durable[n] = i
	}
	return nil
}

// Close does nothing.
func (m *Memory) Close() error { return nil }

// memoryFile is an open file of a Memory.
type memoryFile struct {
	folder *Memory
	image  *image
	epoch  int
}

// Write appends.
func (f *memoryFile) Write(p []byte) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.epoch != f.folder.epoch {
		return 0, fs.ErrClosed
	}
	if f.folder.full {
		return 0, syscall.ENOSPC
	}
	n := f.folder.take(len(p))
	f.image.data = append(f.image.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Sync makes the content durable.
func (f *memoryFile) Sync() error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	switch {
	case f.epoch != f.folder.epoch:
		return fs.ErrClosed
	case f.folder.failing:
		return ErrInjected
	case f.folder.ignoring:
		return nil
	}
	f.image.synced = slices.Clone(f.image.data)
	return nil
}

// Truncate cuts the file.
func (f *memoryFile) Truncate(size int64) error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.epoch != f.folder.epoch {
		return fs.ErrClosed
	}
	f.image.data = f.image.data[:size:size]
	if int64(len(f.image.synced)) > size {
		f.image.synced = f.image.synced[:size]
	}
	return nil
}

// Close does nothing.
func (f *memoryFile) Close() error { return nil }
