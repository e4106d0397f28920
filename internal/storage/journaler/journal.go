// Package journaler keeps a replica's log, snapshots, vote and identity on
// disk.
//
// # Files
//
// The data folder holds:
//
//   - replica: identity, group, term and vote. Replaced atomically: written
//     under a temporary name, synced, renamed, and the folder synced.
//   - log-<number>: entries in frames with a CRC. Files are only appended to. An
//     entry whose index was written before replaces that entry and all after it,
//     so that a log is never truncated in place.
//   - snapshot: the state up to an index, replaced atomically. Each snapshot
//     starts a new log file, and files whose entries it covers are removed.
//
// # Damage
//
// Each frame is synced before the next is written, so a crash tears only the
// last frame of the last file. Open cuts it off: nothing in it was acknowledged.
// A damaged frame that is followed by an intact frame, or that is in an earlier
// file, means that acknowledged data was lost, and Open returns ErrDamaged.
// Damage to the last synced frame can't be told from a torn tail.
//
// A failed write or sync is final. The kernel may have dropped the dirty pages
// and reports success for the next sync, so that a retry would acknowledge lost
// data. Every later call returns the first error. The exception is a full disk:
// Write returns ErrFull and may be called again.
//
// # Usage
//
//	folder, err := journaler.OpenDirectory(path)
//	journal, stored, err := journaler.Open(folder, "control-1", identity)
//	err = journal.Write([]journaler.Save{{Entries: entries}})
//	// the entries are durable
package journaler

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// ErrFull is returned by Write when the disk is full. The same changes may be
// written again later.
var ErrFull = errors.New("disk is full")

// ErrDamaged is returned when acknowledged data can't be read back.
var ErrDamaged = errors.New("data folder is damaged")

const (
	replicaName   = "replica"
	snapshotName  = "snapshot"
	temporaryName = "temporary"
	logPrefix     = "log-"
	// maximumBufferBytes limits the buffer that is kept from one write to the next.
	maximumBufferBytes = 1 << 20
)

// Save is one change to make durable. Its parts are written in the order vote,
// snapshot, entries.
type Save struct {
	Vote     *record.Vote
	Snapshot *record.Snapshot
	// Reset drops all entries written so far, because they disagree with
	// Snapshot, which came from the leader.
	Reset   bool
	Entries []*record.Entry
}

// Stored is what Open read from the data folder.
type Stored struct {
	Vote *record.Vote
	// Snapshot is nil when none was written.
	Snapshot *record.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*record.Entry
	// CutBytes is the size of the torn tail that was removed, in bytes.
	CutBytes int
}

// segment is one log file.
type segment struct {
	number uint64
	// last is the largest index in the file.
	last uint64
}

// Journal writes to the data folder. It isn't safe for concurrent use.
type Journal struct {
	folder Folder
	file   File
	// size is the size of the complete frames in file, in bytes.
	size     int64
	segments []segment
	failure  error
	buffer   []byte
}

// Open reads the data folder. To a blank folder it writes the identity returned
// by identity, which must be random and not zero. The error is ErrDamaged when
// acknowledged data is missing; a folder that belongs to a host with another
// name is refused as well.
func Open(folder Folder, name string, identity func() uint64) (*Journal, *Stored, error) {
	names, err := folder.List()
	if err != nil {
		return nil, nil, fmt.Errorf("list data folder: %w", err)
	}
	j := &Journal{folder: folder}
	s := &Stored{}
	if err := j.openIdentity(s, names, name, identity); err != nil {
		return nil, nil, err
	}
	if err := j.openSnapshot(s); err != nil {
		return nil, nil, err
	}
	if err := j.openLog(s, names); err != nil {
		return nil, nil, err
	}
	return j, s, nil
}

// openIdentity reads the identity, term and vote, or creates the identity in a
// blank folder.
func (j *Journal) openIdentity(s *Stored, names []string, name string, identity func() uint64) error {
	s.Vote = &record.Vote{}
	err := j.readFramed(replicaName, s.Vote)
	if errors.Is(err, fs.ErrNotExist) {
		for _, n := range names {
			if n == snapshotName || strings.HasPrefix(n, logPrefix) {
				return fmt.Errorf("%w: %s exists but the identity is missing", ErrDamaged, n)
			}
		}
		s.Vote = &record.Vote{Id: identity(), Name: name}
		return j.replace(replicaName, s.Vote)
	}
	if err != nil {
		return err
	}
	if s.Vote.Name != name {
		return fmt.Errorf("data folder belongs to host %q, not to %q", s.Vote.Name, name)
	}
	return nil
}

// openSnapshot reads the snapshot, if there is one.
func (j *Journal) openSnapshot(s *Stored) error {
	snapshot := &record.Snapshot{}
	err := j.readFramed(snapshotName, snapshot)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	s.Snapshot = snapshot
	return nil
}

// openLog reads the log files in order and opens the last one for appending.
func (j *Journal) openLog(s *Stored, names []string) error {
	for _, n := range names {
		if !strings.HasPrefix(n, logPrefix) {
			continue
		}
		number, err := strconv.ParseUint(strings.TrimPrefix(n, logPrefix), 16, 64)
		if err != nil {
			return fmt.Errorf("%w: log file name %q", ErrDamaged, n)
		}
		j.segments = append(j.segments, segment{number: number})
	}
	slices.SortFunc(j.segments, func(a, b segment) int {
		if a.number < b.number {
			return -1
		}
		return 1
	})
	if len(j.segments) == 0 {
		return j.rotate()
	}
	for i := range j.segments {
		if err := j.readSegment(s, &j.segments[i], i == len(j.segments)-1); err != nil {
			return err
		}
	}
	var agrees bool
	if s.Entries, agrees = entriesAfter(s.Snapshot, s.Entries); agrees {
		return nil
	}
	return j.reset()
}

// readSegment adds the entries of a log file to s. It cuts off the torn tail of
// the last file and opens that file for appending.
func (j *Journal) readSegment(s *Stored, g *segment, last bool) error {
	data, err := j.folder.Read(g.name())
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	offset := 0
	for offset < len(data) {
		payload, size, err := readFrame(data[offset:])
		if err != nil {
			if !last || containsFrame(data[offset+1:]) {
				return fmt.Errorf("%w: %s at byte %d", ErrDamaged, g.name(), offset)
			}
			break
		}
		b := &record.Batch{}
		if err := proto.Unmarshal(payload, b); err != nil {
			return fmt.Errorf("%w: %s at byte %d: %w", ErrDamaged, g.name(), offset, err)
		}
		if err := replay(s, g, b.Entries); err != nil {
			return err
		}
		offset += size
	}
	if !last {
		return nil
	}
	if j.file, err = j.folder.Append(g.name()); err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	j.size = int64(offset)
	if s.CutBytes = len(data) - offset; s.CutBytes == 0 {
		return nil
	}
	if err := j.file.Truncate(int64(offset)); err != nil {
		return fmt.Errorf("cut torn tail: %w", err)
	}
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

// replay adds the entries of one frame to those read before, replacing entries
// with the same or a later index.
func replay(s *Stored, g *segment, entries []*record.Entry) error {
	for _, e := range entries {
		g.last = max(g.last, e.Index)
		if len(s.Entries) == 0 {
			s.Entries = append(s.Entries, e)
			continue
		}
		first, end := s.Entries[0].Index, s.Entries[0].Index+uint64(len(s.Entries))
		switch {
		case e.Index >= first && e.Index <= end:
			s.Entries = append(s.Entries[:e.Index-first], e)
		case s.Snapshot != nil && (e.Index < first || e.Index <= s.Snapshot.Index+1):
			// A snapshot from the leader replaced the log read so far.
			s.Entries = append(s.Entries[:0], e)
		default:
			return fmt.Errorf("%w: entry %d follows entry %d", ErrDamaged, e.Index, end-1)
		}
	}
	return nil
}

// entriesAfter returns the entries that follow the snapshot. The result is
// false when the log disagrees with the snapshot. This happens when the
// snapshot came from the leader and a crash prevented the removal of the old
// log files.
func entriesAfter(s *record.Snapshot, entries []*record.Entry) ([]*record.Entry, bool) {
	if s == nil || len(entries) == 0 {
		return entries, true
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	switch {
	case first == s.Index+1:
		return entries, true
	case first > s.Index || last < s.Index || entries[s.Index-first].Term != s.Term:
		return nil, false
	}
	return entries[s.Index-first+1:], true
}

// Write makes the changes durable, in order, with as few syncs as possible.
// After ErrFull the same changes may be written again; any other error is final
// and returned by all later calls.
func (j *Journal) Write(saves []Save) error {
	if j.failure != nil {
		return j.failure
	}
	err := j.write(saves)
	if errors.Is(err, ErrFull) {
		return err
	}
	if err != nil {
		j.failure = fmt.Errorf("write to data folder: %w", err)
	}
	return j.failure
}

// markFull wraps the error of a write in ErrFull when the write changed nothing
// because the disk is full. It must not be used for a sync: after a failed sync
// it is unknown what is on disk.
func markFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}

// write writes the last vote before everything else: a durable entry must never
// be found without its term.
func (j *Journal) write(saves []Save) error {
	var vote *record.Vote
	for _, s := range saves {
		if s.Vote != nil {
			vote = s.Vote
		}
	}
	if vote != nil {
		if err := j.replace(replicaName, vote); err != nil {
			return err
		}
	}
	var entries []*record.Entry
	for _, s := range saves {
		if s.Snapshot != nil {
			if err := j.append(entries); err != nil {
				return err
			}
			entries = nil
			if err := j.compact(s.Snapshot, s.Reset); err != nil {
				return err
			}
		}
		entries = append(entries, s.Entries...)
	}
	return j.append(entries)
}

// append writes the entries as one frame and syncs it.
func (j *Journal) append(entries []*record.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	frame, err := appendMessage(j.buffer[:0], &record.Batch{Entries: entries})
	if err != nil {
		return err
	}
	j.buffer = frame
	if cap(frame) > maximumBufferBytes {
		j.buffer = nil
	}
	if _, err := j.file.Write(frame); err != nil {
		return j.cutPartialFrame(err)
	}
	j.size += int64(len(frame))
	g := &j.segments[len(j.segments)-1]
	for _, e := range entries {
		g.last = max(g.last, e.Index)
	}
	return j.file.Sync()
}

// cutPartialFrame removes the part of a frame that was written before the disk
// was full, so that the whole frame can be written again once there is room.
func (j *Journal) cutPartialFrame(cause error) error {
	err := markFull(cause)
	if !errors.Is(err, ErrFull) {
		return err
	}
	if cut := j.file.Truncate(j.size); cut != nil {
		return fmt.Errorf("%w; cut off a part of a frame: %w", cause, cut)
	}
	return err
}

// compact writes the snapshot, starts a new log file and removes the files that
// the snapshot covers.
func (j *Journal) compact(s *record.Snapshot, reset bool) error {
	if err := j.replace(snapshotName, s); err != nil {
		return err
	}
	if reset {
		return j.reset()
	}
	if err := j.rotate(); err != nil {
		return err
	}
	var kept []segment
	for i, g := range j.segments {
		if i < len(j.segments)-1 && g.last <= s.Index && len(kept) == 0 {
			if err := j.folder.Remove(g.name()); err != nil {
				return err
			}
			continue
		}
		kept = append(kept, g)
	}
	j.segments = kept
	return j.folder.Sync()
}

// reset starts a new log file and removes all others. Nothing is appended
// before the removals are durable, so that a later Open never mixes old and new
// entries.
func (j *Journal) reset() error {
	if err := j.rotate(); err != nil {
		return err
	}
	last := len(j.segments) - 1
	for _, g := range j.segments[:last] {
		if err := j.folder.Remove(g.name()); err != nil {
			return err
		}
	}
	j.segments = j.segments[last:]
	return j.folder.Sync()
}

// rotate starts a new log file.
func (j *Journal) rotate() error {
	var number uint64
	if n := len(j.segments); n > 0 {
		number = j.segments[n-1].number + 1
	}
	g := segment{number: number}
	f, err := j.folder.Create(g.name())
	if err != nil {
		return markFull(err)
	}
	if err := errors.Join(f.Sync(), j.folder.Sync()); err != nil {
		return errors.Join(err, f.Close())
	}
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			return err
		}
	}
	j.file, j.size = f, 0
	j.segments = append(j.segments, g)
	return nil
}

// replace writes a file atomically.
func (j *Journal) replace(name string, m proto.Message) error {
	frame, err := appendMessage(nil, m)
	if err != nil {
		return err
	}
	f, err := j.folder.Create(temporaryName)
	if err != nil {
		return markFull(err)
	}
	if _, err := f.Write(frame); err != nil {
		return errors.Join(markFull(err), f.Close())
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := j.folder.Rename(temporaryName, name); err != nil {
		return err
	}
	return j.folder.Sync()
}

// readFramed reads a file that replace wrote.
func (j *Journal) readFramed(name string, m proto.Message) error {
	data, err := j.folder.Read(name)
	if err != nil {
		return err
	}
	payload, size, err := readFrame(data)
	if err != nil || size != len(data) {
		return fmt.Errorf("%w: %s", ErrDamaged, name)
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrDamaged, name, err)
	}
	return nil
}

// Clear removes all files, so that the next Open creates a new replica. Nothing
// may be written afterwards.
func (j *Journal) Clear() error {
	names, err := j.folder.List()
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	// Remove the identity first, so that the remaining files can't be used
	// under it after a crash.
	slices.SortFunc(names, func(a, b string) int { return compareTrueFirst(a == replicaName, b == replicaName) })
	for _, n := range names {
		if err := j.folder.Remove(n); err != nil {
			return fmt.Errorf("clear data folder: %w", err)
		}
	}
	return j.folder.Sync()
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Close closes the log file and the folder.
func (j *Journal) Close() error {
	return errors.Join(j.file.Close(), j.folder.Close())
}

func (g segment) name() string { return fmt.Sprintf("%s%016x", logPrefix, g.number) }
