package applier

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// changeTable remembers the answers to the latest change IDs.
type changeTable struct {
	records map[string]*record.ChangeRecord
	// order lists the change IDs, oldest first.
	order []string
}

func newChangeTable() changeTable {
	return changeTable{records: map[string]*record.ChangeRecord{}}
}

func (t *changeTable) get(change string) *record.ChangeRecord { return t.records[change] }

// add stores an answer and drops the oldest one beyond maximumChanges.
func (t *changeTable) add(c *record.ChangeRecord) {
	t.records[c.Change] = c
	t.order = append(t.order, c.Change)
	if len(t.order) > maximumChanges {
		delete(t.records, t.order[0])
		t.order[0] = ""
		t.order = t.order[1:]
	}
}

func (t *changeTable) list() []*record.ChangeRecord {
	l := make([]*record.ChangeRecord, 0, len(t.order))
	for _, c := range t.order {
		l = append(l, t.records[c])
	}
	return l
}

// contentDigest identifies what a change asks for: the base and the document.
// Operator and note may differ when a change is resent.
func contentDigest(q *wire.ApplyRequest) []byte {
	h := sha256.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], q.Base)
	h.Write(base[:])
	h.Write(q.Document)
	return h.Sum(nil)
}
