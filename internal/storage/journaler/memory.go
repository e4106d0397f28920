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

// ErrInjected is returned by a Memory whose syncs were set to fail.
var ErrInjected = errors.New("injected disk fault")

// Memory is a Folder in memory that separates durable data from data that a
// power loss destroys. Fault tests use it in place of a Directory.
type Memory struct {
	mu sync.Mutex
	// current is what the process sees, durable what remains after Crash.
	current map[string]*fileContent
	durable map[string]*fileContent
	// epoch invalidates open files: those of an earlier epoch return errors.
	epoch int
	full  bool
	// room is the number of bytes that may still be written; negative means no
	// limit.
	room       int
	failSync   bool
	ignoreSync bool
}

// fileContent is the content of a file.
type fileContent struct {
	data []byte
	// synced is the content that is certain to survive a crash.
	synced []byte
}

// NewMemory returns an empty folder.
func NewMemory() *Memory {
	return &Memory{current: map[string]*fileContent{}, durable: map[string]*fileContent{}, room: -1}
}

// FailSync makes every later sync fail while on.
func (m *Memory) FailSync(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failSync = on
}

// SetFull makes every later write and file creation fail with ENOSPC while on.
func (m *Memory) SetFull(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full = on
}

// SetRoom limits later writes to room bytes in total. A write that doesn't fit
// writes as much as there is room for, and no file can be created without room.
// A negative number removes the limit.
func (m *Memory) SetRoom(room int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.room = room
}

// takeRoom uses up room for a write of n bytes and returns how many of them
// fit. The caller holds mu.
func (m *Memory) takeRoom(n int) int {
	if m.room < 0 {
		return n
	}
	n = min(n, m.room)
	m.room -= n
	return n
}

// IgnoreSync makes every later sync succeed without effect while on, like a
// faulty disk. It exists to show that the fault tests notice lost writes.
func (m *Memory) IgnoreSync(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ignoreSync = on
}

// Crash drops what was not synced. A random part of the unsynced tail of a file
// may survive, possibly with damaged bytes, as after a power loss.
func (m *Memory) Crash(r *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epoch++
	m.current = map[string]*fileContent{}
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
		m.current[n] = &fileContent{data: kept, synced: slices.Clone(kept)}
	}
	m.durable = map[string]*fileContent{}
	for n, i := range m.current {
		m.durable[n] = i
	}
}

// Wipe removes all files, like the loss of the disk.
func (m *Memory) Wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epoch++
	m.current = map[string]*fileContent{}
	m.durable = map[string]*fileContent{}
}

// Damage inverts one byte of a file.
func (m *Memory) Damage(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current[name].data[offset] ^= 0xff
}

// Create creates an empty file, replacing an existing one.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.full || m.room == 0 {
		return nil, syscall.ENOSPC
	}
	i := &fileContent{}
	m.current[name] = i
	return &memoryFile{folder: m, content: i, epoch: m.epoch}, nil
}

// Append opens an existing file.
func (m *Memory) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, found := m.current[name]
	if !found {
		return nil, fmt.Errorf("append to %s: %w", name, fs.ErrNotExist)
	}
	return &memoryFile{folder: m, content: i, epoch: m.epoch}, nil
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

// Sync makes creations, renames and removals durable.
func (m *Memory) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failSync {
		return ErrInjected
	}
	if m.ignoreSync {
		return nil
	}
	m.durable = map[string]*fileContent{}
	for n, i := range m.current {
		m.durable[n] = i
	}
	return nil
}

// Close does nothing.
func (m *Memory) Close() error { return nil }

// memoryFile is an open file of a Memory.
type memoryFile struct {
	folder  *Memory
	content *fileContent
	epoch   int
}

// Write appends to the file.
func (f *memoryFile) Write(p []byte) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.epoch != f.folder.epoch {
		return 0, fs.ErrClosed
	}
	if f.folder.full {
		return 0, syscall.ENOSPC
	}
	n := f.folder.takeRoom(len(p))
	f.content.data = append(f.content.data, p[:n]...)
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
	case f.folder.failSync:
		return ErrInjected
	case f.folder.ignoreSync:
		return nil
	}
	f.content.synced = slices.Clone(f.content.data)
	return nil
}

// Truncate cuts the file to size bytes.
func (f *memoryFile) Truncate(size int64) error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.epoch != f.folder.epoch {
		return fs.ErrClosed
	}
	f.content.data = f.content.data[:size:size]
	if int64(len(f.content.synced)) > size {
		f.content.synced = f.content.synced[:size]
	}
	return nil
}

// Close does nothing.
func (f *memoryFile) Close() error { return nil }
