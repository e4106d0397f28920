package relayer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// fingerprint identifies the content of the request, because one that crashes upstreams
// is retried by callers under other IDs.
func (c *call) fingerprint() string {
	h := xxhash.New()
	_, _ = h.WriteString(c.request.Method + " " + c.request.RequestURI + " " + c.intent.Key + " ")
	_, _ = h.Write(c.body)
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
	if len(c.body) > 0 {
		list = append(list, xxhash.Sum64(c.body))
	}
	return list
}
