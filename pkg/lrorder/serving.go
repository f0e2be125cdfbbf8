// Package lrorder decides which orders engines get, so that they come to serve what the configuration wants while
// every model stays served.
package lrorder

// Serving returns the weights version that requests for a model shall be sent at, given how many engines serve each
// version. The wanted version takes over when it is on half of the engines, and is not given up again while any engine
// serves it. Before that it is the most common of the others, so that instances with equal knowledge agree. While the
// versions are not settled, the present one stays as long as any engine serves it.
func Serving(wanted, present string, engines map[string]int, settled bool) string {
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
	case atWanted == total || (atWanted > 0 && (present == wanted || 2*atWanted >= total)):
		return wanted
	case !settled && present != wanted && engines[present] > 0:
		return present
	default:
		return mostCommon(wanted, engines)
	}
}

// mostCommon returns the version that most engines serve, other than the excluded one. The lower one wins a tie.
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
