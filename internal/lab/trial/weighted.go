package trial

import "math/rand/v2"

// weighted is a value with its relative frequency among others.
type weighted[T any] struct {
	value  T
	weight int
}

// drawWeighted returns one of the values, of which there must be at least one, at random by their weights.
func drawWeighted[T any](rng *rand.Rand, all []weighted[T]) T {
	total := 0
	for _, w := range all {
		total += w.weight
	}
	drawn := rng.IntN(total)
	for _, w := range all {
		if drawn -= w.weight; drawn < 0 {
			return w.value
		}
	}
	return all[len(all)-1].value
}
