package responder

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// endOdds is the inverse of the probability that an answer ends before a given
// token, so an answer without a stated length has about this many tokens.
const endOdds = 24

// vocabulary contains letters of one to several bytes, so that tests notice a
// stream that is cut or joined inside a letter.
var vocabulary = []string{
	"hay", "bale", "lot", "goat", "herd", "meadow", "dry", "sweet", "clover",
	"auction", "घाँस", "बाख्रा", "गोठ", "luč", "zgodba", "žival", "noč", "čaj",
	"lamp", "moon", "fox", "sleeps", "under", "the", "quiet", "hill", "and",
	"river", "sings", "softly", "“good”", "night\n",
}

// generator produces an answer in which every token depends on the whole text
// before it and on nothing else. An answer continued from any of its prefixes
// is therefore the same as the undisturbed one.
type generator struct {
	digest xxhash.Digest
	length int
	count  int
}

// newGenerator returns a generator that continues the text, of which count tokens
// belong to the answer already. The length is that of the whole answer in tokens;
// with a length of zero the text decides where the answer ends.
func newGenerator(text string, length, count int) *generator {
	g := &generator{length: length, count: count}
	g.digest.Reset()
	_, _ = g.digest.WriteString(text)
	return g
}

// next returns the next token; false means that the answer is complete.
func (g *generator) next() (string, bool) {
	sum := g.digest.Sum64()
	if g.length > 0 && g.count >= g.length {
		return "", false
	}
	if g.length == 0 && (sum>>32)%endOdds == 0 {
		return "", false
	}
	token := " " + vocabulary[sum%uint64(len(vocabulary))]
	_, _ = g.digest.WriteString(token)
	g.count++
	return token, true
}

// countTokens counts the tokens of generated text.
func countTokens(text string) int {
	return strings.Count(text, " ")
}

// lastMarker returns the number in the last [[name=number]] of the text and the
// text after it.
func lastMarker(text, name string) (number int, rest string, found bool) {
	open := "[[" + name + "="
	i := strings.LastIndex(text, open)
	if i < 0 {
		return 0, "", false
	}
	digits, rest, closed := strings.Cut(text[i+len(open):], "]]")
	if !closed {
		return 0, "", false
	}
	n, err := strconv.Atoi(digits)
	if err != nil || n < 0 {
		return 0, "", false
	}
	return n, rest, true
}
