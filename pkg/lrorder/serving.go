// Package lrorder decides which orders engines get, so that they come to serve the desired versions of their models
// while every model stays available.
//
// An order is a command to an engine to load a version of a model's weights, or an adapter. The engines of an
// availability zone are divided into shards. For each shard, one instance holds a lease and is the only one to send
// orders to the engines of the shard: its holder.
package lrorder

// ServingVersion returns the version of a model's weights to which requests shall be sent, given the number of engines that
// serve each version. The desired version is chosen as soon as half of the engines serve it, and then kept as long as
// any engine serves it. Before that it is the most common other version, so that instances with equal knowledge agree.
// While the versions have not settled, the present version is kept as long as any engine serves it.
func ServingVersion(desired, present string, engines map[string]int, settled bool) string {
	total := 0
	for _, n := range engines {
		total += n
	}
	atDesired := engines[desired]
	switch {
	case total == 0 && present == "":
		return desired
	case total == 0:
		return present
	case atDesired == total || (atDesired > 0 && (present == desired || 2*atDesired >= total)):
		return desired
	case !settled && present != desired && engines[present] > 0:
		return present
	default:
		return mostCommon(desired, engines)
	}
}

// mostCommon returns the version that most engines serve, other than the excluded one. The lower version wins a tie.
func mostCommon(excluded string, engines map[string]int) string {
	best := ""
	for version, n := range engines {
		if version == excluded || n == 0 {
			continue
		}
		if best == "" || n > engines[best] || (n == engines[best] && version < best) {
			best = version
		}
	}
	return best
}
