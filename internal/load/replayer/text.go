package replayer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthcart/amaranthcart/internal/policy/bencher"
)

// prompt returns a text with as many tokens as the prompt of the arrival has: equal
// blocks for equal prefixes, then words unique to the serial number, then the length of
// the answer as a marker.
func prompt(a bencher.Arrival, serial uint64) string {
	var b strings.Builder
	count := 0
	for _, block := range a.Prefix {
		writeWords(&b, block, bencher.BlockTokens)
		count += bencher.BlockTokens
	}
	writeWords(&b, ^serial, a.Prompt-count)
	fmt.Fprintf(&b, "[[length=%d]]", a.Output)
	return b.String()
}

// writeWords writes count words of one token each that depend only on the seed.
func writeWords(b *strings.Builder, seed uint64, count int) {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	for i := range count {
		binary.LittleEndian.PutUint64(key[8:], uint64(i))
		b.WriteString(strconv.FormatUint(xxhash.Sum64(key[:])%(1<<20), 36))
		b.WriteByte(' ')
	}
}

// maxLine bounds a line of a stream in bytes.
const maxLine = 1 << 20

// readStream reads a streamed answer up to its end marker and returns its length in
// tokens. It calls first at the first text. A stream without an end marker or with an
// error is an error.
func readStream(r io.Reader, first func()) (int, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	tokens := 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tokens, nil
		}
		text, err := decodeContent(data)
		if err != nil {
			return tokens, err
		}
		if text != "" && tokens == 0 {
			first()
		}
		tokens += strings.Count(text, " ")
	}
	if err := lines.Err(); err != nil {
		return tokens, fmt.Errorf("read the stream: %w", err)
	}
	return tokens, errors.New("the stream ended without its end marker")
}

// decodeContent returns the text of a chunk, or the error that the chunk carries.
func decodeContent(data string) (string, error) {
	var c struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return "", fmt.Errorf("decode a chunk: %w", err)
	}
	if c.Error != nil {
		return "", fmt.Errorf("the stream broke off: %s", c.Error.Message)
	}
	if len(c.Choices) == 0 {
		return "", nil
	}
	return c.Choices[0].Delta.Content, nil
}
