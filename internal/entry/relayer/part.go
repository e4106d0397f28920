package relayer

import (
	"io"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// fingerprint identifies the content of the request, because one that crashes upstreams
// is retried by callers under other IDs.
func (c *call) fingerprint() string {
	h := xxhash.New()
	_, _ = h.WriteString(c.request.Method + " " + c.request.RequestURI + " " + c.intent.Key + " ")
	c.hashBody(h)
	return strconv.FormatUint(h.Sum64(), 16)
}

// plainParts returns the hashes of what a request of a plain service may share with
// others that crash the same upstreams: its method and path, the same with the query, and
// its body.
func (c *call) plainParts() []uint64 {
	path, _, asked := strings.Cut(c.request.RequestURI, "?")
	list := []uint64{xxhash.Sum64String(c.request.Method + " " + path)}
	if asked {
		list = append(list, xxhash.Sum64String(c.request.Method+" "+c.request.RequestURI))
	}
	if c.body != nil && c.body.Len() > 0 {
		h := xxhash.New()
		c.hashBody(h)
		list = append(list, h.Sum64())
	}
	return list
}

// hashBody adds the body of the request to a hash, which never fails.
func (c *call) hashBody(h io.Writer) {
	if c.body != nil {
		_, _ = c.body.WriteTo(h)
	}
}
