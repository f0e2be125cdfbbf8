// Package lrorder decides which orders engines get, so that they come to serve what the configuration wants while
// every model stays served.
package lrorder

// Serving returns the weights version that requests for a model shall be sent at, given how many engines serve each
// version. The wanted version takes over when it is on half of the engines, and is not given up again while any engine
// serves it.
func Serving(wanted, present string, engines map[string]int) string {
	total := 0
	for _, n := range engines {
		total += n
	}
	atWanted := engines[wanted]
	switch {
	case total == 0 && present == "":
		return wanted
	case total == 0:
		return present
	case atWanted > 0 && (present == wanted || 2*atWanted >= total):
		return wanted
	case present != wanted && engines[present] > 0:
		return present
	default:
		return mostCommon(wanted, engines)
	}
}

func mostCommon(wanted string, engines map[string]int) string {
	best := wanted
	for version, n := range engines {
		if n > engines[best] || (n == engines[best] && best != wanted && version < best) {
			best = version
		}
	}
	return best
}
