package scheduler

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == "0" {
		if err := seed.Value.Set("20260101"); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid.seed", seed.Value)
	os.Exit(m.Run())
}
