// Command bidline prints the configuration of a municipal hay auction. Lot appraisals
// come before bid advice, and that before season summaries; sale records of the ledger
// service must not be repeated.
//
// # Usage
//
//	go run ./examples/bidline > bidline.json
//	amaranthctl check bidline.json
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
	appraisal := builder.Class("appraisal", builder.Tier(0),
		builder.First(310*time.Millisecond), builder.Gap(41*time.Millisecond),
		builder.Wait(2*time.Second), builder.Floor(0.4))
	sale := builder.Class("sale", builder.Tier(0), builder.Total(500*time.Millisecond), builder.Wait(2*time.Second))
	advice := builder.Class("advice", builder.Tier(1),
		builder.First(time.Second), builder.Gap(80*time.Millisecond),
		builder.Wait(10*time.Second), builder.Floor(0.1))
	lot := builder.Class("lot", builder.Tier(2), builder.Total(2*time.Second), builder.Wait(10*time.Second))
	summary := builder.Class("summary", builder.Tier(3),
		builder.Total(5*time.Minute), builder.Wait(2*time.Minute), builder.Floor(0.05))
	parts := []builder.Part{
		appraisal, sale, advice, lot, summary,
		builder.Model("hay-appraiser-8b", appraisal, builder.Also(advice, summary)),
		builder.Service("ledger", lot,
			builder.Once("POST", "/sales", builder.In(sale)),
			builder.Once("POST", "/lots"),
			builder.Repeatable("PUT", "/lots"),
			builder.Repeatable("POST", "/lots/search"),
		),
	}
	return builder.New(append(parts, organisations()...)...)
}

// organisations returns three large cooperatives, smaller groups of herders, sellers
// and an office. The program contains only the digests of their keys, which are
// distributed by other means.
func organisations() []builder.Part {
	return []builder.Part{
		builder.Organisation("bhaktapur-dairy", builder.Share(6), builder.Limit(400),
			builder.KeyHash("24690391682b0efa40a91fbddce3c1f40eb50776a4edad8729dcda46f3b53282")),
		builder.Organisation("lalitpur-dairy", builder.Share(6), builder.Limit(400),
			builder.KeyHash("a14da4d4a7d6633bc8b3d7b824ad589d62a2cb137d11b0ae785bde4b2bd24f2d")),
		builder.Organisation("kavre-cooperative", builder.Share(4), builder.Limit(300),
			builder.KeyHash("5533be228bf1bfebfb3fa5809fa66ddcc1a0817c4493af8c6d934a8766aa33a8")),
		builder.Organisation("nuwakot-goats", builder.Limit(60),
			builder.KeyHash("895d4ce8d7dd77e0c901525a6a431388f69e07b94ef905b0089a4059d34cd563")),
		builder.Organisation("dhading-goats", builder.Limit(60),
			builder.KeyHash("4dd9815f211b9b71dcfe0c9a4fd1f9218bd0e02cb614e5cf90ecd8e3b3f87abe")),
		builder.Organisation("sindhuli-goats", builder.Limit(60),
			builder.KeyHash("a5c84e2bf71113d3d640731786684a41aa03da6869cede893082f15a3af71086")),
		builder.Organisation("rasuwa-yaks", builder.Limit(40),
			builder.KeyHash("76434d9a0479b44803368d630d06e5b1708b5d5de588f6b45df68576b6d6ad77")),
		builder.Organisation("chitwan-sellers", builder.Share(2), builder.Limit(100),
			builder.KeyHash("117370c2a29ad71210241f2bddc1f06b7472d379eebdd380804158ef5c6d0f85")),
		builder.Organisation("makwanpur-sellers", builder.Share(2), builder.Limit(100),
			builder.KeyHash("b880ed8af109176cf33376fad4faed0463b4e976948cfb8302b3687abb2770c9")),
		builder.Organisation("exchange-office", builder.Rate(50),
			builder.KeyHash("4ca570361b006cb2f61bed25947dadb6f950704699602d5df11b561c35b02526")),
	}
}
