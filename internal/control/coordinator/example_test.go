package coordinator_test

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	"github.com/amaranthcart/amaranthcart/internal/control/coordinator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// ExampleOpen runs a group of one control host and submits a configuration.
func ExampleOpen() {
	folder, err := os.MkdirTemp("", "control")
	if err != nil {
		log.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		log.Fatal(err)
	}
	address := l.Addr().String()
	c, err := coordinator.Open(coordinator.Settings{
		Name: "control-1", Address: address, Folder: folder,
		Peers: []coordinator.Peer{{Name: "control-1", Address: address}},
	})
	if err != nil {
		log.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(c.Handler())
	server := &http.Server{Handler: mux}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(l) })

	client := wireconnect.NewControlClient(http.DefaultClient, "http://"+address)
	r, err := client.Apply(context.Background(), connect.NewRequest(&wire.ApplyRequest{
		Change: "first", Document: []byte("{}"), Operator: "ana",
	}))
	if err != nil {
		log.Fatal(err)
	}
	fmt.Println(r.Msg.Outcome, r.Msg.Revision)

	_ = c.Close(context.Background())
	_ = server.Close()
	group.Wait()
	_ = os.RemoveAll(folder)
	// Output: OUTCOME_ACCEPTED 1
}
