package main_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
	"github.com/amaranthcart/amaranthcart/internal/stub/certifier"
)

// certificates are the certificate files of a deployment with TLS, and a client that
// trusts their authority.
type certificates struct {
	t         *testing.T
	folder    string
	authority *certifier.Authority
	client    *http.Client
}

func newCertificates(t *testing.T) *certificates {
	t.Helper()
	a, err := certifier.New()
	assert.NilError(t, err)
	c := &certificates{t: t, folder: t.TempDir(), authority: a}
	assert.NilError(t, os.WriteFile(c.path("authority.pem"), a.PEM(), 0o600))
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(a.PEM()))
	c.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}}
	t.Cleanup(c.client.CloseIdleConnections)
	return c
}

func (c *certificates) path(name string) string { return filepath.Join(c.folder, name) }

// issue writes NAME.pem and NAME.key, with an identity for each role.
func (c *certificates) issue(name string, roles ...authenticator.Role) {
	c.t.Helper()
	var list []*url.URL
	for _, r := range roles {
		list = append(list, authenticator.Identity{Role: r, Name: name}.URI())
	}
	p, err := c.authority.Issue(certifier.Request{URIs: list, Hosts: []string{"127.0.0.1"}})
	assert.NilError(c.t, err)
	assert.NilError(c.t, p.Write(c.path(name+".pem"), c.path(name+".key")))
}

func (c *certificates) settings(name string) *loader.TLS {
	return &loader.TLS{
		Certificate: c.path(name + ".pem"), Key: c.path(name + ".key"), Authority: c.path("authority.pem"),
		Upstreams: loader.UpstreamsTLS{Announce: loader.RequireCertificate},
	}
}

// flags returns the arguments for a program that uses the named certificate.
func (c *certificates) flags(name string) []string {
	return []string{"--authority", c.path("authority.pem"), "--certificate", c.path(name + ".pem"), "--key", c.path(name + ".key")}
}

func (c *certificates) get(address string) (int, string, error) {
	r, err := c.client.Get("https://" + address)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	return r.StatusCode, string(data), err
}

// TestTLS guards against a part of the path that is left without TLS or breaks
// with it: three control hosts, two entry hosts, an engine and a service,
// an operator, and certificates that are replaced under load.
func TestTLS(t *testing.T) {
	d := newDeployment(t)
	plain := deploySettings(t, d, 3, 2)
	c := newCertificates(t)
	for _, name := range d.control {
		c.issue(name, authenticator.Control)
		plain[name].TLS = c.settings(name)
	}
	for _, entry := range d.entries {
		c.issue(entry, authenticator.Entry)
		plain[entry].TLS = c.settings(entry)
		plain[entry].TLS.Callers = &loader.CallersTLS{Certificate: c.path(entry + ".pem"), Key: c.path(entry + ".key")}
	}
	hosts := append(append([]string{}, d.control...), d.entries...)
	for _, name := range []string{"asha", "engine-1", "shop-1"} {
		role := authenticator.Upstream
		if name == "asha" {
			role = authenticator.Operator
		}
		c.issue(name, role)
	}
	for _, name := range hosts {
		d.startDaemon(name)
	}

	file := document(t, "a")
	d.waitFor("apply", func() bool {
		code, out := d.ctl(append(c.flags("asha"), "apply", file, "--revision", "0", "--change", "change-0")...)
		t.Log(out)
		return code == 0
	})
	_, out := d.ctl(append(c.flags("asha"), "history")...)
	assert.Assert(t, strings.Contains(out, "asha"), out)
	for _, name := range []string{d.entries[0], "engine-1", d.control[0]} {
		code, out := d.ctl(append(c.flags(name), "apply", file, "--revision", "1", "--change", "stolen-"+name)...)
		assert.Equal(t, code, 1, out)
	}
	code, out := d.ctl("status")
	assert.Equal(t, code, 5, "a client without a certificate got an answer: %s", out)

	d.startStub("engine-1", append(c.flags("engine-1"), "--model", "lucka")...)
	d.startStub("shop-1", append(c.flags("shop-1"), "--service", "shop")...)
	for _, entry := range d.entries {
		d.waitFor(entry+" to know its upstreams", func() bool {
			status, _, err := c.get(d.settings[entry].Callers + "/ready")
			_, body, _ := c.get(d.settings[entry].Admin + "/admin/upstreams")
			return err == nil && status == http.StatusOK && strings.Count(body, "https://127.0.0.1:") == 2
		})
	}
	d.waitFor("the status to show both entry hosts, which know each other by gossip", func() bool {
		_, out := d.ctl(append(c.flags("asha"), "status")...)
		return strings.Contains(out, d.entries[0]) && strings.Contains(out, d.entries[1])
	})
	send := func(entry, path, body string, header ...string) answer {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+d.settings[entry].Callers+path, strings.NewReader(body))
		assert.NilError(t, err)
		q.Header.Set("Authorization", "Bearer "+key)
		for i := 0; i+1 < len(header); i += 2 {
			q.Header.Set(header[i], header[i+1])
		}
		r, err := c.client.Do(q)
		if err != nil {
			return answer{err: err}
		}
		defer func() { _ = r.Body.Close() }()
		data, err := io.ReadAll(r.Body)
		return answer{status: r.StatusCode, header: r.Header, body: string(data), err: err}
	}
	renewals := map[string]bool{}
	for _, entry := range d.entries {
		// One of the two owns the cell, and the other one asks it for slots.
		text, ok := completeText(send(entry, "/v1/chat/completions", chat("Tell me of the night. [[length=30]]", true)))
		assert.Assert(t, ok && text != "")
		a := send(entry, "/svc/shop/renew", "{}", "Idempotency-Key", "renewal-1")
		assert.Equal(t, a.status, http.StatusOK, a.body)
		renewals[a.body] = true
	}
	assert.Equal(t, len(renewals), 1, "the resend through another entry host got another answer")

	// All hosts get new certificates and load them under load without a restart.
	remaining := func(name string) string {
		_, body, err := c.get(d.settings[name].Admin + "/metrics")
		assert.NilError(t, err)
		for line := range strings.SplitSeq(body, "\n") {
			if strings.HasPrefix(line, `amaranth_certificate_remaining_seconds{use="hosts"}`) {
				return line
			}
		}
		return ""
	}
	assert.Assert(t, remaining(d.entries[0]) != "", "the metric is missing")
	stop := make(chan struct{})
	var sent int
	var failed []string
	var group conc.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			a := send(d.entries[sent%2], "/svc/shop/renew", "{}", "Idempotency-Key", fmt.Sprint("load-", sent))
			if a.err != nil || a.status != http.StatusOK {
				failed = append(failed, fmt.Sprint(a.status, a.body, a.err))
			}
			sent++
		}
	})
	for _, name := range d.control {
		c.issue(name, authenticator.Control)
	}
	for _, name := range d.entries {
		c.issue(name, authenticator.Entry)
	}
	for _, name := range hosts {
		d.waitFor(name+" to take up its new certificate", func() bool {
			data, err := os.ReadFile(filepath.Join(d.folder, name+".log"))
			return err == nil && strings.Contains(string(data), "new certificates are in use")
		})
	}
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	t.Logf("%d requests during the rotation", sent)
	assert.Equal(t, len(failed), 0, "%v", failed)

	entry := d.entries[0]
	code, out = d.ctl(append(c.flags("asha"), "drain", d.settings[entry].Admin)...)
	assert.Equal(t, code, 0, out)
	<-d.processes[entry].done
	assert.Equal(t, d.processes[entry].command.ProcessState.ExitCode(), 0, d.tail(entry))
}
