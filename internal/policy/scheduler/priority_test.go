package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// Guards against engines that are told the same of two classes which share a tier.
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
