package pacing

// SubsetStride is the n of the every n-th host that a router uses which needs so many of them: of powers of two some hosts stay
// when n changes.
func SubsetStride(hosts int, need float64) int {
	n := 1
	for float64(hosts) >= need*2*float64(n) && hosts >= 2*n {
		n *= 2
	}
	return n
}

// SubsetOffset is the first host that a router of some rank uses, where it uses every n-th.
func SubsetOffset(n, rank int) int { return n - 1 - rank%n }

// PreconnectOrder is which of so many hosts a router opens connections to before its first command: its part of them, beginning at
// another one than the next router with the same part, as it may not come to all.
func PreconnectOrder(hosts, rank int) (order []int) {
	stride := SubsetStride(hosts, MinHosts)
	for i := SubsetOffset(stride, rank); i < hosts; i += stride {
		order = append(order, i)
	}
	if len(order) > 0 {
		shift := rank / stride % len(order)
		order = append(order[shift:len(order):len(order)], order[:shift]...)
	}
	return order
}

// MinHosts is how many hosts a router uses that has little traffic: enough to choose between two that are up.
const MinHosts = 12

// imbalance is how many times the mean a busy router's traffic may be: where fronts deal out connections some get several.
const imbalance = 4

// PreconnectCount is how many connections a router opens before its first command: as many as it has in use at once if it is a
// busy one of a fleet that takes so many commands a second, each of which takes so many seconds. What is opened in vain
// costs hosts a handshake and a place, by every router that starts in the same moment. 0 says that the rate isn't known.
func PreconnectCount(perSecond, latency float64, routers int) int {
	if perSecond <= 0 {
		return 0
	}
	return max(MinHosts, int(imbalance*perSecond*latency/float64(max(1, routers))+0.5))
}
