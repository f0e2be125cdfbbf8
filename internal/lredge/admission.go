package lredge

import (
	"slices"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// maxLoggedRoutes limits the routes in one log line.
const maxLoggedRoutes = 16

// newAdmission returns the Admission of the pipeline, or nil where the settings switch it off.
func (d *Daemon) newAdmission() *lrqueue.Admission {
	if !d.settings.Admission.Enabled {
		return nil
	}
	return lrqueue.NewAdmission(uint64(d.clock().UnixNano()))
}

// reportTargets logs the routes whose requests are always sent because their target is not usable, whenever these change.
func (d *Daemon) reportTargets(spec lrtable.Spec) {
	var names []string
	for _, r := range spec.Routes {
		if !r.HasUsableTarget() {
			names = append(names, r.Name)
		}
	}
	slices.Sort(names)
	if d.settings.Admission.Enabled && !slices.Equal(names, d.untargeted) {
		d.log.Info().Strs("routes", names[:min(len(names), maxLoggedRoutes)]).Int("count", len(names)).Msg("admission: routes without a usable target")
	}
	d.untargeted = names
}
