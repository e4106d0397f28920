package main

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestPrint guards against a change of the library that alters the printed
// configuration of an unchanged program.
func TestPrint(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, configuration().Print(&b))
	golden.Assert(t, b.String(), "kovac.json")
}
