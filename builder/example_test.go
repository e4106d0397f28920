package builder_test

import (
	"fmt"
	"os"
	"time"

	"github.com/amaranthcart/amaranthcart/builder"
)

func Example() {
	chat := builder.Class("chat", builder.Tier(0),
		builder.First(400*time.Millisecond), builder.Gap(60*time.Millisecond), builder.Wait(2*time.Second))
	c := builder.New(
		chat,
		builder.Organisation("parents", builder.Share(3), builder.Key("a key of 16 bytes or more")),
		builder.Model("story-8b", chat),
		builder.Service("shop", chat, builder.Once("GET", "/check"), builder.Repeatable("PUT", "/pause")),
	)
	if err := c.Print(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// {
	//   "classes": [
	//     {
	//       "name": "chat",
	//       "tier": 0,
	//       "first": "400ms",
	//       "gap": "60ms",
	//       "wait": "2s"
	//     }
	//   ],
	//   "organisations": [
	//     {
	//       "name": "parents",
	//       "share": 3,
	//       "keys": [
	//         "4460e691cf840bdf5cc82d381955522c6825a4d564494bc2b5a8f404c1a6adc9"
	//       ]
	//     }
	//   ],
	//   "models": [
	//     {
	//       "name": "story-8b",
	//       "class": "chat"
	//     }
	//   ],
	//   "services": [
	//     {
	//       "name": "shop",
	//       "class": "chat",
	//       "calls": [
	//         {
	//           "method": "GET",
	//           "path": "/check",
	//           "repeat": false
	//         },
	//         {
	//           "method": "PUT",
	//           "path": "/pause",
	//           "repeat": true
	//         }
	//       ]
	//     }
	//   ]
	// }
}

// All problems are reported together, each with its path in the document.
func ExampleConfiguration_Problems() {
	chat := builder.Class("chat", builder.Wait(2*time.Hour))
	letter := builder.Class("letter", builder.Tier(4), builder.Wait(time.Minute))
	c := builder.New(
		chat,
		builder.Organisation("parents", builder.Share(0), builder.Key("short"), builder.KeyHash("12ab")),
		builder.Model("story-8b", chat, builder.Also(letter, nil)),
	)
	for _, p := range c.Problems() {
		fmt.Println(p)
	}
	// Output:
	// $.classes[0].tier: found nothing; allowed: a tier from 0 to 3, set by builder.Tier
	// $.organisations[0].keys[0]: found a short key; allowed: keys of at least 16 bytes
	// $.classes[0].wait: found "2h0m0s"; allowed: a duration from 1ms to 1h0m0s
	// $.organisations[0].share: found 0; allowed: more than 0, up to 1000000
	// $.organisations[0].keys[1]: found "12ab"; allowed: the SHA-256 digest of a key as 64 lower-case hex digits
	// $.models[0].classes[0]: found "letter"; allowed: the name of a class in $.classes
	// $.models[0].classes[1]: found ""; allowed: the name of a class in $.classes
}

// Print writes nothing when the configuration is invalid.
func ExampleConfiguration_Print() {
	err := builder.New(
		builder.Class("chat", builder.Tier(0), builder.Wait(time.Second), builder.Floor(0.7)),
		builder.Class("story", builder.Tier(0), builder.Wait(time.Second), builder.Floor(0.5)),
	).Print(os.Stdout)
	fmt.Println(err)
	// Output:
	// configuration has 1 problem:
	// $.classes: found "floors with the sum 1.2"; allowed: a sum of at most 1
}
