package follower

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/storage/journaler"
)

// FileName is the file in the data folder that holds the last revision.
const FileName = "revision.json"

// storedRevision is the JSON form of a stored revision.
type storedRevision struct {
	Number   uint64    `json:"number"`
	Digest   string    `json:"digest"`
	Accepted time.Time `json:"accepted"`
	// Document is kept as a string, since the digest covers its exact bytes.
	Document string `json:"document"`
}

// loadRevision reads the revision stored in the folder, or returns one with the
// number 0 when there is no file. A file that exists but can't be read is an error:
// starting without it could revert the configuration.
func loadRevision(folder string) (Revision, error) {
	// A crash between the write and the rename leaves temporary files behind.
	unfinished, err := filepath.Glob(filepath.Join(folder, FileName+".*.tmp"))
	if err != nil {
		return Revision{}, fmt.Errorf("look for unfinished files: %w", err)
	}
	for _, f := range unfinished {
		if err := os.Remove(f); err != nil {
			return Revision{}, fmt.Errorf("remove an unfinished file: %w", err)
		}
	}
	data, err := os.ReadFile(filepath.Join(folder, FileName))
	if errors.Is(err, fs.ErrNotExist) {
		return Revision{}, nil
	}
	if err != nil {
		return Revision{}, fmt.Errorf("read the last revision: %w", err)
	}
	var r storedRevision
	if err := json.Unmarshal(data, &r); err != nil {
		return Revision{}, fmt.Errorf("read the last revision in %s: %w", FileName, err)
	}
	sum := sha256.Sum256([]byte(r.Document))
	if r.Number == 0 || hex.EncodeToString(sum[:]) != r.Digest {
		return Revision{}, fmt.Errorf("read the last revision in %s: the document of revision %d does not match its digest", FileName, r.Number)
	}
	return Revision{Number: r.Number, Digest: r.Digest, Accepted: r.Accepted, Document: []byte(r.Document)}, nil
}

// saveRevision replaces the file atomically: after a crash it holds either the old
// or the new revision, complete.
func saveRevision(folder string, r Revision) error {
	data, err := json.Marshal(storedRevision{Number: r.Number, Digest: r.Digest, Accepted: r.Accepted, Document: string(r.Document)})
	if err == nil {
		err = journaler.ReplaceFile(folder, FileName, data)
	}
	if err != nil {
		return fmt.Errorf("store revision %d: %w", r.Number, err)
	}
	return nil
}
