package planner

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/carawaytiller/carawaytiller/sampler"
)

// vocabulary returns the different values of the records' fields in order.
func vocabulary(records []sampler.Record) []string {
	words := map[string]bool{}
	for _, record := range records {
		for field, values := range record.Fields {
			if field == "Edition" {
				continue
			}
			for _, v := range values {
				words[v] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(words))
}

// makeBodies returns n bodies with one or two terms, some of which exclude another one.
func makeBodies(r *rand.Rand, words []string, n int) [][]byte {
	bodies := make([][]byte, n)
	for i := range bodies {
		order := r.Perm(len(words))
		request := sampler.Request{Terms: []string{words[order[0]]}}
		if r.IntN(2) == 0 {
			request.Terms = append(request.Terms, words[order[1]])
		}
		if r.IntN(4) == 0 {
			request.Exclude = []string{words[order[2]]}
		}
		bodies[i] = encodeBody(request)
	}
	return bodies
}

func encodeBody(request sampler.Request) []byte {
	body, err := json.Marshal(request)
	if err != nil {
		panic(err) // Lists of strings always encode.
	}
	return body
}
