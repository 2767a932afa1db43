package planner

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Weights are names with their shares, such as search=80,print=1.
type Weights struct {
	names []string
	// sums holds for each name the sum of the weights up to it.
	sums []int
}

// ParseWeights reads NAME=WEIGHT pairs separated by commas. Weights are whole numbers from 1;
// a name without a weight has weight 1. The error names the part that is wrong.
func ParseWeights(text string) (Weights, error) {
	var w Weights
	for part := range strings.SplitSeq(text, ",") {
		name, number, hasNumber := strings.Cut(part, "=")
		weight := 1
		if hasNumber {
			var err error
			if weight, err = strconv.Atoi(number); err != nil {
				return Weights{}, errors.Errorf("%q: the weight is not a whole number", part)
			}
		}
		switch {
		case name == "":
			return Weights{}, errors.Errorf("%q: the name is missing", part)
		case weight < 1 || weight > maxWeight:
			return Weights{}, errors.Errorf("%q: the weight is not from 1 to %d", part, maxWeight)
		case w.Has(name):
			return Weights{}, errors.Errorf("%q: the name is there twice", part)
		}
		w.names = append(w.names, name)
		w.sums = append(w.sums, w.sum()+weight)
	}
	return w, nil
}

// maxWeight keeps the sum of weights small.
const maxWeight = 1_000_000

// Has says whether name is one of the names.
func (w Weights) Has(name string) bool {
	for _, n := range w.names {
		if n == name {
			return true
		}
	}
	return false
}

// Names returns the names in the order in which they were given.
func (w Weights) Names() []string {
	return append([]string(nil), w.names...)
}

// pick returns a name, each with a probability in proportion to its weight.
func (w Weights) pick(r *rand.Rand) string {
	n := r.IntN(w.sum())
	i := 0
	for n >= w.sums[i] {
		i++
	}
	return w.names[i]
}

func (w Weights) sum() int {
	if len(w.sums) == 0 {
		return 0
	}
	return w.sums[len(w.sums)-1]
}
