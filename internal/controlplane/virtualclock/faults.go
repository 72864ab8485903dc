package virtualclock

// Quality is how badly a simulated network treats messages.
type Quality struct {
	Loss       float64 // share of messages that are lost
	Duplicated float64 // share that arrive twice
	Delayed    float64 // share that take much longer
}

// RandomQuality draws the quality of a network: perfect, or worse in each respect.
func (c *Clock) RandomQuality() Quality {
	return Quality{
		Loss:       []float64{0, 0.02, 0.1, 0.3}[c.Random.IntN(4)],
		Duplicated: []float64{0, 0.1, 0.5}[c.Random.IntN(3)],
		Delayed:    []float64{0, 0.05, 0.3}[c.Random.IntN(3)],
	}
}

// Isolate cuts the links between a node and the others: those from it, those to it, or both.
func Isolate[Address any](c *Clock, target Address, others []Address, cut func(from, to Address)) {
	ways := c.Random.IntN(3)
	for _, other := range others {
		if ways != 0 {
			cut(target, other)
		}
		if ways != 1 {
			cut(other, target)
		}
	}
}

// Split divides nodes at random into two sides and cuts every link between them.
func Split[Address any](c *Clock, nodes []Address, cut func(from, to Address)) {
	left := make([]bool, len(nodes))
	for i := range left {
		left[i] = c.Chance(0.5)
	}
	for i, a := range nodes {
		for j, b := range nodes {
			if left[i] != left[j] {
				cut(a, b)
			}
		}
	}
}
