package pacing

// SubsetStride returns the stride with which a router selects its subset of the hosts: the largest power of two that still selects
// need hosts and at least one, or 1 if there are too few hosts. Powers of two keep part of the subset when the stride changes.
func SubsetStride(hosts int, need float64) int {
	stride := 1
	for float64(hosts) >= need*2*float64(stride) && hosts >= 2*stride {
		stride *= 2
	}
	return stride
}

// SubsetOffset returns the index of the first host in the subset of the router with the given rank.
func SubsetOffset(stride, rank int) int { return stride - 1 - rank%stride }

// PreconnectOrder returns the indexes of the hosts to which a router opens connections before its first request, in this order. These
// are the hosts of its subset, rotated so that routers with the same subset begin at different hosts, because a router may not open
// enough connections for all of them.
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

// MinHosts is the number of hosts that a router with little traffic uses, enough that it can choose between two healthy ones.
const MinHosts = 12

// busyRouterFactor is the traffic of a busy router relative to the mean. Where connections, not requests, are balanced over routers,
// some routers get several busy ones.
const busyRouterFactor = 4

// PreconnectCount returns the number of connections that a router opens before its first request: the number that a busy router of
// the fleet uses concurrently, and at least MinHosts. perSecond is the total request rate of the fleet, 0 if unknown, and latency
// the mean duration of a request in seconds. For an unknown rate the result is 0. Unused connections are not free: each costs its host a
// handshake and a connection, for every router that starts at the same moment.
func PreconnectCount(perSecond, latency float64, routers int) int {
	if perSecond <= 0 {
		return 0
	}
	inUse := busyRouterFactor * perSecond * latency / float64(max(1, routers)) // by Little's law
	return max(MinHosts, int(inUse+0.5))
}
