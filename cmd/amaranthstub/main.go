// Command amaranthstub runs a stub model engine and plain HTTP service for tests.
//
// # Usage
//
//	amaranthstub --name a --listen 127.0.0.1:9001 --model story --service shop --entry 127.0.0.1:8080
//
// It exits with status 3 when a prompt with the marker [[crash=N]] or a control request
// crashes it.
package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// crashStatus is the exit status of a crash that a prompt or a control request asks
// for.
const crashStatus = 3

func main() {
	app := kingpin.New("amaranthstub", "Stand-in model engine and plain service.")
	name := app.Flag("name", "Name of the upstream.").Required().String()
	listen := app.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
	address := app.Flag("address", "Address to announce; default is the listening one.").String()
	centre := app.Flag("centre", "Data centre.").String()
	cell := app.Flag("cell", "Cell.").String()
	models := app.Flag("model", "Model to serve; repeatable.").Strings()
	services := app.Flag("service", "Plain service to serve; repeatable.").Strings()
	entries := app.Flag("entry", "Entry host to announce to; repeatable.").Strings()
	slots := app.Flag("slots", "Generations at once.").Default("64").Int()
	batch := app.Flag("batch", "Take the time that an engine with continuous batching takes.").Bool()
	certificate := app.Flag("certificate", "Certificate file; serves TLS and announces an https address.").String()
	keyFile := app.Flag("key", "Key file of the certificate.").String()
	authority := app.Flag("authority", "File with the authority of the entry hosts' certificates.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	logger, err := zap.NewProduction()
	app.FatalIfError(err, "logger")
	listener, err := net.Listen("tcp", *listen)
	app.FatalIfError(err, "cannot listen on %q; --listen takes a free address and port such as 127.0.0.1:9001", *listen)
	var client *tls.Config
	if *certificate != "" {
		var server *tls.Config
		server, client, err = readTLS(*certificate, *keyFile, *authority)
		app.FatalIfError(err, "certificates")
		if *address == "" {
			*address = "https://" + listener.Addr().String()
		}
		listener = tls.NewListener(listener, server)
	}
	r := responder.New(responder.Options{
		Name:     registrar.UpstreamID(*name),
		Address:  *address,
		Centre:   registrar.DataCentre(*centre),
		Cell:     registrar.CellName(*cell),
		Models:   pools(*models),
		Services: pools(*services),
		Slots:    *slots,
		Batch:    *batch,
		Entries:  *entries,
		Logger:   logger,
		TLS:      client,
		Crash:    func() { os.Exit(crashStatus) },
	})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger.Info("serving", zap.String("address", listener.Addr().String()))
	var group conc.WaitGroup
	group.Go(func() {
		<-ctx.Done()
		_ = r.Close()
	})
	err = r.Serve(listener)
	stop()
	group.Wait()
	app.FatalIfError(err, "serve")
}

// readTLS returns the TLS configurations for the server and for announcements. The
// client verifies the identity in an entry host's certificate instead of its address.
func readTLS(certificate, key, authority string) (server, client *tls.Config, err error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, nil, err
	}
	data, err := os.ReadFile(authority)
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(data)
	a, err := authenticator.Open(authenticator.Options{
		Files:  authenticator.Files{Certificate: certificate, Key: key, Authority: authority},
		Accept: func(string) []authenticator.Identity { return []authenticator.Identity{{Role: authenticator.Entry}} },
	})
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	return server, a.Client(""), nil
}

func pools(names []string) []validator.PoolName {
	list := make([]validator.PoolName, 0, len(names))
	for _, n := range names {
		list = append(list, validator.PoolName(n))
	}
	return list
}
