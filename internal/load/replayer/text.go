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

// prompt writes a text with the tokens of the arrival: equal blocks for equal
// prefixes, then words of its own, then the length of the answer.
func prompt(a bencher.Arrival, serial uint64) string {
	var b strings.Builder
	count := 0
	for _, block := range a.Prefix {
		words(&b, block, bencher.BlockTokens)
		count += bencher.BlockTokens
	}
	words(&b, ^serial, a.Prompt-count)
	fmt.Fprintf(&b, "[[length=%d]]", a.Output)
	return b.String()
}

// words writes words that depend on the seed alone.
func words(b *strings.Builder, seed uint64, count int) {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	for i := range count {
		binary.LittleEndian.PutUint64(key[8:], uint64(i))
		b.WriteString(strconv.FormatUint(xxhash.Sum64(key[:])%(1<<20), 36))
		b.WriteByte(' ')
	}
}

// maxLine bounds a line of a stream.
const maxLine = 1 << 20

// readStream reads a streamed answer to its end marker and returns its length in
// tokens. It calls first at the first text.
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
		text, err := contentOf(data)
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

func contentOf(data string) (string, error) {
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
