package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// TestEnginesAreToldTheUrgency guards against engines that get the same priority
// for two classes of one tier with a different urgency.
func TestEnginesAreToldTheUrgency(t *testing.T) {
	for _, c := range []struct {
		class validator.Class
		want  int
	}{
		{validator.Class{Tier: 2}, 2},
		{validator.Class{Tier: 2, Urgency: 1}, 0},
		{validator.Class{Tier: 2, Urgency: 10}, 9},
	} {
		assert.Equal(t, newClass(c.class).priority, c.want)
	}
}
