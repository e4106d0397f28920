// Command kovac prints the configuration of a subscription shop for night lights.
// Bedtime stories and support chat come before letter drafts; renewals of the shop
// service must not be repeated.
//
// # Usage
//
//	go run ./examples/kovac > kovac.json
//	amaranthctl check kovac.json
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/amaranthcart/amaranthcart/builder"
)

func main() {
	if err := configuration().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func configuration() *builder.Configuration {
	chat := builder.Class("chat", builder.Tier(0),
		builder.First(310*time.Millisecond), builder.Gap(41*time.Millisecond),
		builder.Wait(2*time.Second), builder.Floor(0.3))
	story := builder.Class("story", builder.Tier(0),
		builder.First(600*time.Millisecond), builder.Gap(60*time.Millisecond),
		builder.Wait(3*time.Second), builder.Floor(0.3))
	renewal := builder.Class("renewal", builder.Tier(0), builder.Total(time.Second), builder.Wait(2*time.Second))
	delivery := builder.Class("delivery", builder.Tier(1), builder.Total(2*time.Second), builder.Wait(5*time.Second))
	letter := builder.Class("letter", builder.Tier(3),
		builder.Total(5*time.Minute), builder.Wait(5*time.Minute), builder.Floor(0.05))
	parts := []builder.Part{
		chat, story, renewal, delivery, letter,
		builder.Model("lucka-chat-8b", chat, builder.Also(letter)),
		builder.Model("lucka-story-13b", story, builder.Also(letter)),
		builder.Service("shop", delivery,
			builder.Once("POST", "/renew", builder.In(renewal)),
			builder.Once("POST", "/pause"),
			builder.Repeatable("GET", "/check"),
		),
	}
	return builder.New(append(parts, organisations()...)...)
}

// organisations returns the sales regions, institutions, partners and staff. The program
// contains only the digests of their keys, which are distributed by other means.
func organisations() []builder.Part {
	return []builder.Part{
		builder.Organisation("families-slovenia", builder.Share(8), builder.Limit(500),
			builder.KeyHash("954f489f0fdb387d69f9ccbe9741c6fd5ec6d61bb2b94839dc42c3dc30d5846e")),
		builder.Organisation("families-croatia", builder.Share(5), builder.Limit(400),
			builder.KeyHash("844cfec5f0b05f022bfed283732f45c6069f6038cac03efc261078ffa42d59d2")),
		builder.Organisation("families-austria", builder.Share(5), builder.Limit(400),
			builder.KeyHash("bc892617e40c095ecb9f68a40e5be4a8745e9087114740cba5882039ddbb3e39")),
		builder.Organisation("families-italy", builder.Share(2), builder.Limit(150),
			builder.KeyHash("16eba71b85837eaac845ea0c328d6af5a6ced0d8162f1486c3a73459b79edec0")),
		builder.Organisation("kindergartens", builder.Limit(80),
			builder.KeyHash("73099cada8a8834c1eca4cad43aa3827051e0a52aaf1ef5399d638df4fe37e59")),
		builder.Organisation("children-hospital", builder.Share(2), builder.Limit(80),
			builder.KeyHash("907983c84fc66e818b7428ce208c1c3d49c1c959caa0ac98b799334e6028ae46")),
		builder.Organisation("libraries", builder.Limit(60),
			builder.KeyHash("4054aadfedd323d115cac8fa439dffaf5a4b50e1b2615bdcc9c9c04cdfde8120")),
		builder.Organisation("gift-partners", builder.Limit(60),
			builder.KeyHash("eb98532e14ca33401bbda5b4b56ff3fb95c14481d73dd1f08cc5f07d0dbd6e76")),
		builder.Organisation("packing-staff", builder.Limit(40),
			builder.KeyHash("6e3aab4824fe924fdbe59f2f30e6c2b5abd0ac9bb9f06d22a46a0c01bdec859e")),
		builder.Organisation("letter-editors", builder.Rate(10),
			builder.KeyHash("1384f89d77d5377b992afbe0de5ffd37f4ebe869fea502ea08c180e9a422018e")),
	}
}
