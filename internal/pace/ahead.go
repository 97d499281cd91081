package pace

// Every is the n of the every n-th host that a router uses which needs so many of them, by its rank: of powers of two
// some hosts stay when n changes.
func Every(hosts int, need float64) int {
	n := 1
	for float64(hosts) >= need*2*float64(n) && hosts >= 2*n {
		n *= 2
	}
	return n
}

// Part is the first host of a router's part and the step to the next.
func Part(n, rank int) (first, step int) { return n - 1 - rank%n, n }

// Order is which of so many hosts a router opens connections to before its first command: its part of them, beginning at
// another one than the next router with the same part, as it may not come to all.
func Order(hosts, rank int) (order []int) {
	first, step := Part(Every(hosts, Fewest), rank)
	for i := first; i < hosts; i += step {
		order = append(order, i)
	}
	if len(order) > 0 {
		shift := rank / step % len(order)
		order = append(order[shift:len(order):len(order)], order[:shift]...)
	}
	return order
}

// Fewest is how many hosts a router uses that has little traffic: enough to choose between two that are up.
const Fewest = 12

// uneven is how many times the mean a busy router's traffic may be: where fronts deal out connections some get several.
const uneven = 4

// Ahead is how many connections a router opens before its first command: as many as it has in use at once if it is a
// busy one of a fleet that takes so many commands a second, each of which takes so many seconds. What is opened in vain
// costs hosts a handshake and a place, by every router that starts in the same moment. 0 says that the rate isn't known.
func Ahead(perSecond, takes float64, routers int) int {
	if perSecond <= 0 {
		return 0
	}
	return max(Fewest, int(uneven*perSecond*takes/float64(max(1, routers))+0.5))
}
