package guardian_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/ops/guardian"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// operators lists two operators; asha has an old and a new key.
var operators = []loader.Operator{
	{Name: "asha", Keys: []string{validator.HashKey("old"), validator.HashKey("new")}},
	{Name: "matej", Keys: []string{validator.HashKey("third")}},
}

// TestIdentify guards against a caller who is admitted without a valid key, and against a
// remote caller who is treated as a local one.
func TestIdentify(t *testing.T) {
	for _, c := range []struct {
		name, header, remote, origin string
		operators                    []loader.Operator
		want                         string
		err                          error
	}{
		{name: "first key", header: "Bearer old", remote: "10.0.0.9:1", operators: operators, want: "asha"},
		{name: "second key", header: "bearer new", remote: "10.0.0.9:1", operators: operators, want: "asha"},
		{name: "other operator", header: "Bearer third", remote: "10.0.0.9:1", operators: operators, want: "matej"},
		{name: "digest as key", header: "Bearer " + validator.HashKey("old"), operators: operators, err: guardian.ErrUnknownKey},
		{name: "loopback needs a key", remote: "127.0.0.1:1", operators: operators, err: guardian.ErrNoKey},
		{name: "empty key", header: "Bearer ", operators: operators, err: guardian.ErrNoKey},
		{name: "other scheme", header: "Basic old", operators: operators, err: guardian.ErrNoKey},
		{name: "no operators, loopback", remote: "127.0.0.1:1", want: guardian.Loopback},
		{name: "no operators, mapped loopback", remote: "[::ffff:127.0.0.1]:1", want: guardian.Loopback},
		{name: "no operators, remote", remote: "10.0.0.9:1", err: guardian.ErrRemote},
		{name: "no operators, no address", remote: "@", err: guardian.ErrRemote},
		{name: "no operators, browser", remote: "127.0.0.1:1", origin: "http://page.example", err: guardian.ErrRemote},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := http.Header{}
			h.Set("Authorization", c.header)
			h.Set("Origin", c.origin)
			name, err := guardian.New(c.operators).Identify(h, c.remote)
			assert.Equal(t, name, c.want)
			assert.Equal(t, err, c.err)
		})
	}
}

// control records the operator's name that reaches it.
type control struct {
	wireconnect.UnimplementedControlHandler
	operator string
}

func (c *control) Apply(_ context.Context, r *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	c.operator = r.Msg.Operator
	return connect.NewResponse(&wire.ApplyResponse{}), nil
}

func (c *control) Get(context.Context, *connect.Request[wire.GetRequest]) (*connect.Response[wire.GetResponse], error) {
	return connect.NewResponse(&wire.GetResponse{}), nil
}

// TestInterceptor guards against operators who choose the name in the audit
// trail and against reads that need a key.
func TestInterceptor(t *testing.T) {
	fake := new(control)
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlHandler(fake, connect.WithInterceptors(guardian.New(operators))))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := wireconnect.NewControlClient(server.Client(), server.URL)
	request := connect.NewRequest(&wire.ApplyRequest{Operator: "someone"})
	_, err := client.Apply(t.Context(), request)
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
	assert.Equal(t, fake.operator, "")
	request.Header().Set("Authorization", "Bearer third")
	_, err = client.Apply(t.Context(), request)
	assert.NilError(t, err)
	assert.Equal(t, fake.operator, "matej")
	_, err = client.Get(t.Context(), connect.NewRequest(&wire.GetRequest{}))
	assert.NilError(t, err)
}

// TestTrust guards against a leader that refuses a change without a key although a trusted
// control host forwards it, and against a change that is accepted without an operator's
// name.
func TestTrust(t *testing.T) {
	fake := new(control)
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlHandler(fake, connect.WithInterceptors(guardian.New(operators, guardian.WithTrustedPeers()))))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := wireconnect.NewControlClient(server.Client(), server.URL)
	_, err := client.Apply(t.Context(), connect.NewRequest(&wire.ApplyRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
	_, err = client.Apply(t.Context(), connect.NewRequest(&wire.ApplyRequest{Operator: "asha"}))
	assert.NilError(t, err)
	assert.Equal(t, fake.operator, "asha")
}
