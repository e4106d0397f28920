package validator_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const routed = `{"classes": [{"name": "sale", "tier": 1, "wait": "1s"}, {"name": "sale.t0", "tier": 0, "wait": "1s"}],
"organisations": [{"name": "coop", "share": 1, "keys": [], "tier": 0}],
"models": [], "services": [{"name": "ledger", "class": "sale"}, {"name": "archive", "class": "sale"}],
"routes": [
  {"name": "sales", "host": "hay.example", "path": "/sales/", "class": "sale", "repeat": "once", "timeout": "2s", "attempts": 1, "pools": [{"pool": "ledger", "weight": 3}, {"pool": "archive", "weight": 1}]},
  {"name": "lots", "host": "hay.example", "path": "/sales/lots/", "class": "sale", "repeat": "idempotent", "timeout": "2s", "attempts": 2, "pools": [{"pool": "ledger", "weight": 1}]}
]}`

// TestRoutes guards against a request that is led to the wrong route, pool or
// class.
func TestRoutes(t *testing.T) {
	d, problems := validator.Decode([]byte(routed))
	assert.Equal(t, len(problems), 0, "%v", problems)
	x := validator.Compile(d)
	for path, want := range map[string]validator.RouteName{"/sales/1": "sales", "/sales/lots/1": "lots", "/sales": "", "/other/": ""} {
		r, ok := x.Route("HAY.example:8080", path)
		assert.Equal(t, ok, want != "", path)
		if ok {
			assert.Equal(t, r.Name, want)
		}
	}
	_, ok := x.Route("other.example", "/sales/1")
	assert.Assert(t, !ok)
	r, _ := x.Route("hay.example", "/sales/1")
	assert.Equal(t, r.Pick(0), validator.PoolName("ledger"))
	assert.Equal(t, r.Pick(0.74), validator.PoolName("ledger"))
	assert.Equal(t, r.Pick(0.76), validator.PoolName("archive"))
	o, _ := x.Organisation("coop")
	assert.Equal(t, x.ClassOf(r, nil).Tier, validator.Tier(1))
	assert.Equal(t, x.ClassOf(r, o).Tier, validator.Tier(0))
}

// TestRouteProblems guards against an invalid route that is accepted: a route
// without a usable target would only be noticed by callers.
func TestRouteProblems(t *testing.T) {
	for name, c := range map[string]struct{ from, to, path string }{
		"no pool": {`"pool": "archive"`, `"pool": "cellar"`, "$.routes[0].pools[1].pool"},
		"no weight": {`"weight": 1}]}
]`, `"weight": 0}]}
]`, "$.routes[1].pools"},
		"same place":   {`"/sales/lots/"`, `"/sales/"`, "$.routes[1].path"},
		"open prefix":  {`"/sales/lots/"`, `"/sales/lots"`, "$.routes[1].path"},
		"no class":     {`"class": "sale", "repeat": "once"`, `"class": "fair", "repeat": "once"`, "$.routes[0].class"},
		"no timeout":   {`"timeout": "2s", "attempts": 1`, `"timeout": "0s", "attempts": 1`, "$.routes[0].timeout"},
		"no attempts":  {`"attempts": 2`, `"attempts": 0`, "$.routes[1].attempts"},
		"other repeat": {`"once"`, `"twice"`, "$.routes[0].repeat"},
		"tier too low": {`"tier": 0}]`, `"tier": 7}]`, "$.organisations[0].tier"},
	} {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(routed, c.from, c.to, 1)
			assert.Assert(t, changed != routed)
			_, problems := validator.Decode([]byte(changed))
			assert.Assert(t, len(problems) > 0)
			assert.Equal(t, problems[0].Path, c.path)
		})
	}
}
