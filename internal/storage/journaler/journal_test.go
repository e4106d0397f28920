package journaler

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

func entries(term, first, last uint64) []*record.Entry {
	var l []*record.Entry
	for i := first; i <= last; i++ {
		l = append(l, &record.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return l
}

func identity() uint64 { return 7 }

// describe returns the snapshot as [index.term], if there is one, and the
// entries as index.term.
func describe(s *Stored) string {
	text := ""
	if s.Snapshot != nil {
		text = fmt.Sprintf("[%d.%d]", s.Snapshot.Index, s.Snapshot.Term)
	}
	for _, e := range s.Entries {
		text += fmt.Sprintf(" %d.%d", e.Index, e.Term)
	}
	return text
}

// TestDamage guards against acknowledged entries that are silently dropped, and
// against a replica that can't start after a torn write.
func TestDamage(t *testing.T) {
	const log = "log-0000000000000000"
	for _, c := range []struct {
		name   string
		damage func(*Memory)
		want   string
		err    error
	}{
		{"none", func(*Memory) {}, " 1.1 2.1 3.2", nil},
		{"torn tail", func(m *Memory) { m.current[log].data = m.current[log].data[:len(m.current[log].data)-3] }, " 1.1 2.1", nil},
		{"garbage behind the end", func(m *Memory) { m.current[log].data = append(m.current[log].data, "amf1\x00\x00"...) }, " 1.1 2.1 3.2", nil},
		{"zeros behind the end", func(m *Memory) { m.current[log].data = append(m.current[log].data, make([]byte, 4096)...) }, " 1.1 2.1 3.2", nil},
		{"first payload", func(m *Memory) { m.Damage(log, frameHeaderBytes+2) }, "", ErrDamaged},
		{"first length", func(m *Memory) { m.Damage(log, len(frameMagic)) }, "", ErrDamaged},
		{"first magic", func(m *Memory) { m.Damage(log, 0) }, "", ErrDamaged},
		{"identity", func(m *Memory) { m.Damage(replicaName, frameHeaderBytes) }, "", ErrDamaged},
		{"identity missing", func(m *Memory) { delete(m.current, replicaName) }, "", ErrDamaged},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := NewMemory()
			j, _, err := Open(m, "a", identity)
			assert.NilError(t, err)
			assert.NilError(t, j.Write([]Save{{Entries: entries(1, 1, 2)}}))
			assert.NilError(t, j.Write([]Save{{Entries: entries(2, 3, 3)}}))
			c.damage(m)
			_, s, err := Open(m, "a", identity)
			if c.err != nil {
				assert.ErrorIs(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, describe(s), c.want)
			// What was cut off must not reappear, and the log must accept new entries.
			j, s, err = Open(m, "a", identity)
			assert.NilError(t, err)
			assert.Equal(t, s.CutBytes, 0)
			assert.NilError(t, j.Write([]Save{{Entries: entries(3, 3, 4)}}))
			_, s, err = Open(m, "a", identity)
			assert.NilError(t, err)
			assert.Equal(t, describe(s), " 1.1 2.1 3.3 4.3")
		})
	}
}

// TestFailedSyncIsFinal guards against a retried sync that succeeds although
// the data is lost.
func TestFailedSyncIsFinal(t *testing.T) {
	m := NewMemory()
	j, _, err := Open(m, "a", identity)
	assert.NilError(t, err)
	m.FailSync(true)
	assert.ErrorIs(t, j.Write([]Save{{Entries: entries(1, 1, 1)}}), ErrInjected)
	m.FailSync(false)
	assert.ErrorIs(t, j.Write([]Save{{Entries: entries(1, 1, 1)}}), ErrInjected)
	assert.ErrorIs(t, j.Write([]Save{{Vote: &record.Vote{Id: 7, Name: "a", Term: 2}}}), ErrInjected)
}

// errPowerLoss ends a run of TestCrashAtEveryStep.
var errPowerLoss = errors.New("power loss")

// failingFolder fails all operations after a number of them has succeeded.
type failingFolder struct {
	*Memory
	left int
}

func (f *failingFolder) countStep() error {
	if f.left--; f.left < 0 {
		return errPowerLoss
	}
	return nil
}

// Create counts as a step.
func (f *failingFolder) Create(name string) (File, error) {
	if err := f.countStep(); err != nil {
		return nil, err
	}
	o, err := f.Memory.Create(name)
	return failingFile{o, f}, err
}

// Append counts as a step.
func (f *failingFolder) Append(name string) (File, error) {
	if err := f.countStep(); err != nil {
		return nil, err
	}
	o, err := f.Memory.Append(name)
	return failingFile{o, f}, err
}

// Rename counts as a step.
func (f *failingFolder) Rename(from, to string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	return f.Memory.Rename(from, to)
}

// Remove counts as a step.
func (f *failingFolder) Remove(name string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	return f.Memory.Remove(name)
}

// Sync counts as a step.
func (f *failingFolder) Sync() error {
	if err := f.countStep(); err != nil {
		return err
	}
	return f.Memory.Sync()
}

// failingFile counts its operations as steps of its folder.
type failingFile struct {
	File
	folder *failingFolder
}

// Write counts as a step.
func (f failingFile) Write(p []byte) (int, error) {
	if err := f.folder.countStep(); err != nil {
		return 0, err
	}
	return f.File.Write(p)
}

// Sync counts as a step.
func (f failingFile) Sync() error {
	if err := f.folder.countStep(); err != nil {
		return err
	}
	return f.File.Sync()
}

// TestCrashAtEveryStep guards against a power loss that loses acknowledged
// entries, votes or snapshots, or mixes a replaced log with the new one.
func TestCrashAtEveryStep(t *testing.T) {
	writes := []struct {
		save Save
		want string
		term uint64
	}{
		{Save{Vote: &record.Vote{Id: 7, Name: "a", Term: 1}, Entries: entries(1, 1, 6)}, " 1.1 2.1 3.1 4.1 5.1 6.1", 1},
		{Save{Entries: entries(2, 4, 5)}, " 1.1 2.1 3.1 4.2 5.2", 1},
		{Save{Snapshot: &record.Snapshot{Index: 2, Term: 1}}, "[2.1] 3.1 4.2 5.2", 1},
		{Save{Vote: &record.Vote{Id: 7, Name: "a", Term: 3}, Snapshot: &record.Snapshot{Index: 4, Term: 3}, Reset: true}, "[4.3]", 3},
		{Save{Entries: entries(3, 5, 7)}, "[4.3] 5.3 6.3 7.3", 3},
		{Save{Snapshot: &record.Snapshot{Index: 6, Term: 3}, Entries: entries(3, 8, 8)}, "[6.3] 7.3 8.3", 3},
	}
	const seed = 1
	finished := false
	for steps := 0; !finished; steps++ {
		r := rand.New(rand.NewPCG(seed, uint64(steps)))
		m := NewMemory()
		j, _, err := Open(&failingFolder{Memory: m, left: steps}, "a", identity)
		done := 0
		if err == nil {
			for done < len(writes) && j.Write([]Save{writes[done].save}) == nil {
				done++
			}
		}
		finished = done == len(writes)
		m.Crash(r)
		// A second crash during the recovery must do no harm.
		_, _, _ = Open(&failingFolder{Memory: m, left: r.IntN(6)}, "a", identity)
		m.Crash(r)
		j, s, err := Open(m, "a", identity)
		assert.NilError(t, err, "seed %d, %d steps", seed, steps)
		got := describe(s)
		before, after := "", ""
		term := uint64(0)
		if done > 0 {
			before, term = writes[done-1].want, writes[done-1].term
		}
		if done < len(writes) {
			after = writes[done].want
		}
		// The interrupted write may be present in part: vote, snapshot, entries.
		parts := map[string]bool{before: true, after: true, "[6.3] 7.3": done == 5}
		assert.Assert(t, parts[got], "seed %d, %d steps: %q after %d writes", seed, steps, got, done)
		assert.Assert(t, s.Vote.Term >= term && s.Vote.Id == 7, "seed %d, %d steps", seed, steps)
		// Later writes must not be mixed with what the interrupted one left.
		if got == after && done < len(writes) {
			done++
		}
		for _, w := range writes[done:] {
			assert.NilError(t, j.Write([]Save{w.save}))
			_, s, err = Open(m, "a", identity)
			assert.NilError(t, err, "seed %d, %d steps", seed, steps)
			assert.Equal(t, describe(s), w.want, "seed %d, %d steps", seed, steps)
		}
	}
}

// TestDirectory guards against differences between the real folder and the one
// in memory, and against two processes that use the same folder.
func TestDirectory(t *testing.T) {
	path := t.TempDir() + "/data"
	d, err := OpenDirectory(path)
	assert.NilError(t, err)
	_, err = OpenDirectory(path)
	assert.ErrorIs(t, err, ErrLocked)
	j, s, err := Open(d, "a", identity)
	assert.NilError(t, err)
	assert.Equal(t, s.Vote.Id, uint64(7))
	assert.NilError(t, j.Write([]Save{{Entries: entries(1, 1, 9)}, {Snapshot: &record.Snapshot{Index: 4, Term: 1, Data: []byte("x")}}}))
	assert.NilError(t, j.Close())
	d, err = OpenDirectory(path)
	assert.NilError(t, err)
	j, s, err = Open(d, "a", func() uint64 { t.Fatal("a new identity in an old folder"); return 0 })
	assert.NilError(t, err)
	assert.Equal(t, describe(s), "[4.1] 5.1 6.1 7.1 8.1 9.1")
	assert.Assert(t, proto.Equal(s.Entries[0], entries(1, 5, 5)[0]))
	assert.NilError(t, j.Close())
	_, _, err = Open(NewMemory(), "b", identity)
	assert.NilError(t, err)
	d, err = OpenDirectory(path)
	assert.NilError(t, err)
	_, _, err = Open(d, "b", identity)
	assert.ErrorContains(t, err, "belongs to host")
	assert.NilError(t, d.Close())
}

// TestFullDisk guards against a replica that stops, or loses or duplicates
// entries, because the disk was full for a while.
func TestFullDisk(t *testing.T) {
	disk := NewMemory()
	j, _, err := Open(disk, "control-1", func() uint64 { return 1 })
	assert.NilError(t, err)
	entry := func(index uint64) Save {
		return Save{Entries: []*record.Entry{{Index: index, Term: 1}}}
	}
	assert.NilError(t, j.Write([]Save{entry(1)}))
	disk.SetFull(true)
	again := []Save{{Vote: &record.Vote{Id: 1, Name: "control-1", Term: 2}}, entry(2)}
	assert.ErrorIs(t, j.Write(again), ErrFull)
	assert.ErrorIs(t, j.Write(again), ErrFull)
	disk.SetFull(false)
	assert.NilError(t, j.Write(again))
	disk.Crash(rand.New(rand.NewPCG(1, 1)))
	_, stored, err := Open(disk, "control-1", func() uint64 { return 2 })
	assert.NilError(t, err)
	assert.Equal(t, stored.Vote.Term, uint64(2))
	assert.Equal(t, len(stored.Entries), 2)
}

// TestFullDiskAtEveryByte guards against a replica that has to be restarted, or
// loses or duplicates entries, because the disk was full: within a frame, a
// vote, a snapshot or a new log file. The same process must write what was
// refused once there is room.
func TestFullDiskAtEveryByte(t *testing.T) {
	vote := &record.Vote{Id: 7, Name: "a", Term: 2}
	cases := []struct {
		name  string
		saves []Save
		want  string
	}{
		{"entries", []Save{{Entries: entries(1, 4, 6)}}, " 1.1 2.1 3.1 4.1 5.1 6.1"},
		{"vote", []Save{{Vote: vote}}, " 1.1 2.1 3.1"},
		{"vote and entries that replace others", []Save{{Vote: vote, Entries: entries(2, 3, 4)}}, " 1.1 2.1 3.2 4.2"},
		{"snapshot between entries", []Save{{Entries: entries(1, 4, 5)}, {Snapshot: &record.Snapshot{Index: 2, Term: 1, Data: []byte("state")}}, {Entries: entries(1, 6, 6)}}, "[2.1] 3.1 4.1 5.1 6.1"},
		{"snapshot in place of the log", []Save{{Vote: vote, Snapshot: &record.Snapshot{Index: 9, Term: 2, Data: []byte("state")}, Reset: true, Entries: entries(2, 10, 10)}}, "[9.2] 10.2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for room, refused := 0, true; refused; room++ {
				disk := NewMemory()
				j, _, err := Open(disk, "a", identity)
				assert.NilError(t, err)
				assert.NilError(t, j.Write([]Save{{Entries: entries(1, 1, 3)}}))
				disk.SetRoom(room)
				err = j.Write(c.saves)
				refused = err != nil
				if refused {
					assert.ErrorIs(t, err, ErrFull, "room for %d bytes", room)
					assert.ErrorIs(t, j.Write(c.saves), ErrFull, "room for %d bytes", room)
				}
				disk.SetRoom(-1)
				if refused {
					assert.NilError(t, j.Write(c.saves), "room for %d bytes", room)
				}
				disk.Crash(rand.New(rand.NewPCG(1, uint64(room))))
				_, stored, err := Open(disk, "a", identity)
				assert.NilError(t, err, "room for %d bytes", room)
				assert.Equal(t, describe(stored), c.want, "room for %d bytes", room)
				assert.Equal(t, stored.CutBytes, 0, "room for %d bytes", room)
			}
		})
	}
}
