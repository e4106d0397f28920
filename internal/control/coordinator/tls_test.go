package coordinator

import (
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// TestExchangeUnderOwnName guards against a control host that introduces itself
// under the name of another one.
func TestExchangeUnderOwnName(t *testing.T) {
	c := newCluster(t, 3)
	h := c.hosts[c.leader()]
	for _, n := range []struct {
		certificate string
		want        connect.Code
	}{{"stranger", 0}, {"other", connect.CodePermissionDenied}} {
		data, err := proto.Marshal(&record.Message{Kind: record.Message_KIND_HELLO_REPLY, Name: "stranger"})
		assert.NilError(t, err)
		ctx := authenticator.NewContext(t.Context(), []authenticator.Identity{{Role: authenticator.Control, Name: n.certificate}})
		_, err = service{h.coordinator}.Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{Messages: [][]byte{data}}))
		if n.want == 0 {
			assert.NilError(t, err)
			continue
		}
		assert.Equal(t, connect.CodeOf(err), n.want)
	}
}
