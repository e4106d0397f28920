package validator_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// TestPlacementProblems guards against a placement that no engine can satisfy,
// and against one that counts as fenced or not fenced because the field is absent.
func TestPlacementProblems(t *testing.T) {
	const placement = `{"upstream": "gpu-1:8000", "models": ["meta/hay-8B"], "adapters": ["goat"], "role": "decode", "fenced": true}`
	document := strings.TrimSuffix(valid, "}") + `, "placements": [` + placement + `], "loads": 2}`
	_, problems := validator.Decode([]byte(document))
	assert.Equal(t, len(problems), 0, "%v", problems)
	for _, c := range []struct{ name, old, new, want string }{
		{"fenced is required", `, "fenced": true`, ``, `$.placements[0].fenced: found nothing; allowed: the field is required`},
		{"unknown model", `["meta/hay-8B"]`, `["ledger"]`, `$.placements[0].models[0]: found "ledger"; allowed: the name of a model in $.models`},
		{"no model", `["meta/hay-8B"]`, `[]`, `$.placements[0].models: found 0; allowed: 1 to 256 models`},
		{"model twice", `["meta/hay-8B"]`, `["meta/hay-8B", "meta/hay-8B"]`, `$.placements[0].models[1]: found "meta/hay-8B"; allowed: each model once`},
		{"adapter twice", `["goat"]`, `["goat", "goat"]`, `$.placements[0].adapters[1]: found "goat"; allowed: each name once`},
		{"upstream twice", placement, placement + ", " + placement, `$.placements[1].upstream: found "gpu-1:8000"; allowed: an upstream that is not used at $.placements[0].upstream`},
		{"role", `"decode"`, `"de code"`, `$.placements[0].role: found "de code"; allowed: 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit`},
		{"loads", `"loads": 2`, `"loads": -1`, `$.loads: found -1; allowed: 0 (no bound) to 256`},
	} {
		_, problems := validator.Decode([]byte(strings.Replace(document, c.old, c.new, 1)))
		var got []string
		for _, p := range problems {
			got = append(got, p.String())
		}
		assert.Equal(t, strings.Join(got, "\n"), c.want, c.name)
	}
}
