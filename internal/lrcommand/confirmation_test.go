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

// addInstances puts instances on the platform's list that answer operators with the statuses.
func (m *terminal) addInstances(statuses ...lrdaemon.Status) {
	m.t.Helper()
	instances := make([]lrplatform.Instance, 0, len(statuses))
	for _, s := range statuses {
		admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(s)
		}))
		m.t.Cleanup(admin.Close)
		instances = append(instances, lrplatform.Instance{
			Name: s.Name, Role: lrplatform.RoleRouter, Zone: "a", AdminAddress: admin.Listener.Addr().String(),
		})
	}
	data, err := json.Marshal(instances)
	if err != nil {
		m.t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, m.platform+"/control/instances", bytes.NewReader(data))
	if err != nil {
		m.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		m.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// addKey returns the identifier of a new key.
func (m *terminal) addKey() string {
	m.t.Helper()
	for _, args := range [][]string{{"plans", "apply", deployed("plans.ini")}, {"accounts", "apply", deployed("accounts.ini")}} {
		code, output := m.run(args...)
		if code != exitOK {
			m.t.Fatal(output)
		}
	}
	var output bytes.Buffer
	Execute([]string{"keys", "add", "parish-office", "--platform", m.platform}, &output, &output)
	match := regexp.MustCompile(`key: lr_([0-9a-f]+)_`).FindStringSubmatch(output.String())
	if match == nil {
		m.t.Fatal(output.String())
	}
	return match[1]
}

func TestWithdrawalNamesInstancesThatHaveNotConfirmed(t *testing.T) {
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
			m := newTerminal(t)
			id := m.addKey()
			m.addInstances(c.statuses...)
			code, output := m.run(append([]string{"keys", "withdraw", id, "--wait", "0s"}, c.args...)...)
			if code != c.code || !strings.Contains(output, c.want) {
				t.Fatalf("exit code %d: %s", code, output)
			}
		})
	}
}
