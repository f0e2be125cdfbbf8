package lrdaemon

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
)

// A Status is the state of an instance as shown to operators.
type Status struct {
	Name          string    `json:"name"`
	Zone          string    `json:"zone"`
	StartedAt     time.Time `json:"startedAt"`
	ConfigVersion uint64    `json:"configVersion"`
	Draining      bool      `json:"draining"`
	Running       int       `json:"running"`
	// Rejection is a later configuration that was rejected as invalid.
	Rejection *lrstate.Rejection `json:"rejection,omitempty"`
	Members   []lrpeer.Member    `json:"members"`
	// Missing lists the reasons why the instance is not ready.
	Missing []string              `json:"missing"`
	Servers []lrplatform.Instance `json:"servers"`
}

func (d *Daemon) callerHandler() http.Handler {
	router := mux.NewRouter()
	router.UseEncodedPath()
	router.SkipClean(true)
	d.addHealth(router)
	router.PathPrefix("/").Handler(d.gateway)
	return router
}

func (d *Daemon) adminHandler() http.Handler {
	router := mux.NewRouter()
	d.addHealth(router)
	router.Handle("/metrics", promhttp.HandlerFor(d.metrics.Registry, promhttp.HandlerOpts{}))
	router.HandleFunc("/admin/status", d.serveStatus).Methods(http.MethodGet)
	router.HandleFunc("/admin/requests/{id}", d.serveExplanation).Methods(http.MethodGet)
	return router
}

func (d *Daemon) addHealth(router *mux.Router) {
	router.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	router.HandleFunc("/readyz", d.serveReady)
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	missing := d.missing()
	if len(missing) > 0 {
		http.Error(w, "not ready: "+strings.Join(missing, "; "), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// missing returns the reasons why the instance is not ready.
func (d *Daemon) missing() []string {
	missing := []string{}
	if d.draining.Load() {
		missing = append(missing, "the instance is stopping")
	}
	select {
	case <-d.relay.Ready():
	default:
		missing = append(missing, "the configuration has not been confirmed by the platform or a peer")
	}
	if d.follower.Snapshot().Version() == 0 {
		missing = append(missing, "no configuration has been read from the platform or a peer")
	}
	if !d.registry.HasInstances() {
		missing = append(missing, "no list of instances has been read from the platform or a peer")
	}
	if !d.limitViews.IsReady() {
		missing = append(missing, "no view of the homes of client accounts has been read from the platform or a peer")
	}
	return missing
}

func (d *Daemon) status() Status {
	servers := d.registry.Servers(lrplatform.RoleEngine)
	servers = append(servers, d.registry.Servers(lrplatform.RoleService)...)
	return Status{
		Name: d.settings.Instance.Name, Zone: d.settings.Instance.Zone, StartedAt: d.started,
		ConfigVersion: d.follower.Snapshot().Version(), Draining: d.draining.Load(), Running: d.gateway.ActiveCalls(),
		Rejection: d.follower.Rejection(), Members: d.members.Members(), Missing: d.missing(), Servers: servers,
	}
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, d.status())
}

func (d *Daemon) serveExplanation(w http.ResponseWriter, r *http.Request) {
	explanation, ok := d.recorder.Find(mux.Vars(r)["id"])
	if !ok {
		http.Error(w, "the request is not among the latest of this instance; ask another one", http.StatusNotFound)
		return
	}
	writeJSON(w, explanation)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
