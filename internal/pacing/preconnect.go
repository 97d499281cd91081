package pacing

// SubsetStride returns the n for which a router that needs so many hosts uses every n-th of them. It is a power of two, so that some
// hosts stay the same when it changes.
func SubsetStride(hosts int, need float64) int {
	stride := 1
	for float64(hosts) >= need*2*float64(stride) && hosts >= 2*stride {
		stride *= 2
	}
	return stride
}

// SubsetOffset returns the first host that a router of some rank uses, if it uses every n-th.
func SubsetOffset(stride, rank int) int { return stride - 1 - rank%stride }

// PreconnectOrder returns which of so many hosts a router opens connections to before its first request, and in which order: those of
// its subset, beginning at another one than the next router with the same subset, as it may not reach all.
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

// MinHosts is how many hosts a router with little traffic uses: enough to choose between two that are up.
const MinHosts = 12

// imbalance is a busy router's traffic over the mean: where connections are balanced over routers, some get several busy ones.
const busyRouterFactor = 4

// PreconnectCount returns how many connections a router opens before its first request: as many as it has in use at once if it is a
// busy one of a fleet that receives so many requests a second, each of which takes so many seconds. One that is opened in vain
// costs a host a handshake and a connection, for every router that starts at the same moment. It is 0 for an unknown rate.
func PreconnectCount(perSecond, latency float64, routers int) int {
	if perSecond <= 0 {
		return 0
	}
	inUse := busyRouterFactor * perSecond * latency / float64(max(1, routers)) // by Little's law
	return max(MinHosts, int(inUse+0.5))
}
