package link

// shareReserve is the part of a server's connections that no process counts on. It covers urgent requests, probes,
// connections that are closed while others are opened, and processes that are not known yet.
const shareReserve = 0.1

// Share returns how many of the connections that a server accepts from all processes together one of them may have:
// at least one, and 0 for no limit if none is known.
func Share(maxConnections, processes int) int {
	if maxConnections <= 0 {
		return 0
	}
	return max(int((1-shareReserve)*float64(maxConnections)/float64(max(processes, 1))), 1)
}
