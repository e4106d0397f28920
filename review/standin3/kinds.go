package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// storyBody is the size in bytes of the body of a long prompt.
	storyBody = 17000
	// storySlots and shopSlots are the requests that a server runs at once.
	storySlots = 64
	shopSlots  = 6
	// shortRead is the work of a plain request.
	shortRead = 60 * time.Millisecond
	// starvedShare is the share of the rate of all requests below which a kind of request is
	// starved.
	starvedShare = 0.25
	// refusedPause is what a client waits after a refusal: a third of the time that a plain
	// request has.
	refusedPause = time.Second
)

// mixedKinds are requests of three kinds.
var mixedKinds = []struct {
	name string
	ask  func() ask
}{
	{"bedtime-story", func() ask {
		return ask{method: http.MethodPost, path: "/story/1", key: "key0", deadline: 10 * time.Second, body: fmt.Sprintf("%d %s", rand.Uint64(), strings.Repeat("s", storyBody)),
			headers: map[string]string{"Model": "m", "Token-Count": "1700,60", "Prompt-Prefix": fmt.Sprintf("a0000001:1330,%08x:372", rand.Uint32())}}
	}},
	{"renewal", func() ask {
		return ask{method: http.MethodPost, path: "/renew/1", key: "key0", deadline: 3 * time.Second, body: strings.Repeat("r", 600)}
	}},
	{"delivery-check", func() ask {
		return ask{method: http.MethodGet, path: "/check/1", key: "key0", deadline: 3 * time.Second}
	}},
}

// mixedConfiguration has a route for each of these kinds.
const mixedConfiguration = `{"Version":7,"Routes":[` +
	`{"Name":"r-story","Host":"shop.example","PathPrefix":"/story/","RouteType":"streaming","TimeoutMs":10000,"GoalMs":2500,"Priority":2,"Service":"zgodbar","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapTargetMs":800},` +
	`{"Name":"r-renew","Host":"shop.example","PathPrefix":"/renew/","RouteType":"non_idempotent","TimeoutMs":3000,"GoalMs":300,"Priority":2,"Service":"trgovina","MaxAttempts":1,"Public":false},` +
	`{"Name":"r-check","Host":"shop.example","PathPrefix":"/check/","RouteType":"idempotent","TimeoutMs":3000,"GoalMs":300,"Priority":2,"Service":"trgovina","MaxAttempts":2,"Public":false}],` +
	`"Services":[{"Name":"zgodbar","HealthPath":"/health","MaxConns":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":411823,"Models":[{"Name":"m"}]}},{"Name":"trgovina","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],` +
	`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},` +
	`"Tenants":[{"Name":"t0","ApiKeys":["key0"],"Priority":1},{"Name":"t1","ApiKeys":["key1"],"Priority":1}]}`

// tally counts the answers of one kind of request.
type tally struct {
	asked, served int
	statuses      map[int]int
}
