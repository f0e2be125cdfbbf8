package lrcommand

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrdaemon"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmember"
)

// addInstances adds instances to the platform's list whose admin servers return the statuses.
func (r *commandRunner) addInstances(statuses ...lrdaemon.Status) {
	r.t.Helper()
	instances := make([]lrplatform.Instance, 0, len(statuses))
	for _, s := range statuses {
		admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(s)
		}))
		r.t.Cleanup(admin.Close)
		instances = append(instances, lrplatform.Instance{
			Name: s.Name, Role: lrplatform.RoleRouter, Zone: "a", AdminAddress: admin.Listener.Addr().String(),
		})
	}
	data, err := json.Marshal(instances)
	if err != nil {
		r.t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, r.platform+"/control/instances", bytes.NewReader(data))
	if err != nil {
		r.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// addKey adds a key and returns its id.
func (r *commandRunner) addKey() string {
	r.t.Helper()
	for _, args := range [][]string{{"plans", "apply", deployed("plans.ini")}, {"accounts", "apply", deployed("accounts.ini")}} {
		code, output := r.run(args...)
		if code != exitOK {
			r.t.Fatal(output)
		}
	}
	var output bytes.Buffer
	Execute([]string{"keys", "add", "parish-office", "--platform", r.platform}, &output, &output)
	match := regexp.MustCompile(`key: lr_([0-9a-f]+)_`).FindStringSubmatch(output.String())
	if match == nil {
		r.t.Fatal(output.String())
	}
	return match[1]
}

func TestWithdrawalNamesUnconfirmedInstances(t *testing.T) {
	const withdrawn = 4
	cases := []struct {
		name     string
		statuses []lrdaemon.Status
		args     []string
		code     int
		want     string
	}{
		{"all confirmed", []lrdaemon.Status{{Name: "r1", ConfigVersion: withdrawn}}, nil, exitOK, "every instance has confirmed"},
		{
			"one behind",
			[]lrdaemon.Status{{Name: "r1", ConfigVersion: withdrawn}, {Name: "r2", ConfigVersion: 1}},
			nil,
			exitFailure, "r2: version 1 is in force there",
		},
		{"one behind, accepted", []lrdaemon.Status{{Name: "r2", ConfigVersion: 1}}, []string{"--accept-unconfirmed"}, exitOK, "accepted without them"},
		{
			"one not listed",
			[]lrdaemon.Status{{Name: "r1", ConfigVersion: withdrawn, Members: []lrmember.Member{{Name: "r3", ConfigVersion: 2}}}},
			nil,
			exitFailure, "r3: known to other instances at version 2",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newCommandRunner(t)
			id := r.addKey()
			r.addInstances(c.statuses...)
			code, output := r.run(append([]string{"keys", "withdraw", id, "--wait", "0s"}, c.args...)...)
			if code != c.code || !strings.Contains(output, c.want) {
				t.Fatalf("exit code %d: %s", code, output)
			}
		})
	}
}
