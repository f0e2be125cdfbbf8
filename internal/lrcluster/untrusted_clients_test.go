package lrcluster

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrframe/crowdtest"
)

const (
	// crowdSettings are the lowered limits of the tests with untrusted clients.
	crowdSettings = "[server]\nmaxHeaderBytes = 16384\nmaxHeldBytes = 4194304\nheaderTimeout = 3s\nidleTimeout = 15s\n" +
		"[routing]\nbeliefBytes = 1048576\n"
	// crowdClients is the number of connections of the clients.
	crowdClients = 320
	// crowdDescriptors is the limit of descriptors of the process in the test that counts them, less than the clients have connections.
	crowdDescriptors = 192
	// operatorClients is the number of connections to the ports of operators and of other instances.
	operatorClients = 24
	// maxCrowdMemory is the most memory that a process with these limits may use.
	maxCrowdMemory = 64 << 20
	// crowdTime is how long the clients keep their connections after they have sent everything.
	crowdTime = 500 * time.Millisecond
	// answerTimeout is how long an ordinary request may be repeated until it is answered.
	answerTimeout = 10 * time.Second
)

// startCrowdCluster starts a cluster with the lowered limits and returns it with a key.
func startCrowdCluster(t *testing.T, maxDescriptors int) (c *Cluster, key string) {
	t.Helper()
	t.Chdir("../..")
	c, err := New()
	failOnError(t, err)
	t.Cleanup(c.Stop)
	c.extraSettings, c.maxDescriptors = crowdSettings, maxDescriptors
	failOnError(t, c.Start())
	key, err = c.AddKey("north-school")
	failOnError(t, err)
	return c, key
}

func failOnError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestUntrustedClientsLeaveMemoryBounded has clients send requests of legal size and unusual form to the interface for callers, and heads
// without end to the other ports. A process that keeps all of them at the same time runs out of memory.
func TestUntrustedClientsLeaveMemoryBounded(t *testing.T) {
	c, key := startCrowdCluster(t, 0)
	zone := Zones()[0]
	for _, kind := range crowdtest.Kinds() {
		t.Run(kind.Name, func(t *testing.T) {
			c.replaceRouter(t, zone)
			start := "POST /balances HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\n"
			defer crowdtest.Send(t, c.Address(zone), crowdClients, kind, start).Close()
			c.requireCalm(t, zone, key, 3*crowdClients)
		})
	}
	instance := c.Instance(routerName(zone))
	for name, address := range map[string]string{"admin": instance.AdminAddress, "peers": instance.PeerAddress} {
		t.Run("port "+name, func(t *testing.T) {
			c.replaceRouter(t, zone)
			defer crowdtest.SendEndlessHeads(t, address, operatorClients, name == "peers").Close()
			c.requireCalm(t, zone, key, 3*crowdClients)
		})
	}
}

// replaceRouter starts the instance of the zone anew, so that its peak of memory starts anew.
func (c *Cluster) replaceRouter(t *testing.T, zone string) {
	t.Helper()
	c.KillRouter(zone)
	failOnError(t, c.StartRouter(zone))
}

// requireCalm checks the instance under the load of a crowd, and that it answers an ordinary request while the connections of the crowd are
// still open.
func (c *Cluster) requireCalm(t *testing.T, zone, key string, maxDescriptors int) {
	t.Helper()
	time.Sleep(crowdTime)
	got, err := Answer{}, error(nil)
	for end := time.Now().Add(answerTimeout); time.Now().Before(end) && got.Status != http.StatusOK; time.Sleep(pollDelay) {
		got, err = Call(http.MethodGet, c.Address(zone), "/balances", key, "", "")
	}
	if err != nil || got.Status != http.StatusOK {
		t.Errorf("an ordinary request is answered with status %d, error %v: %.300s", got.Status, err, got.Body)
	}
	crowdtest.RequireBounded(t, c.processes[routerName(zone)].command.Process.Pid, maxCrowdMemory, maxDescriptors)
}

// TestLargestOrdinaryHeadsAreServed sends single requests with the most header lines that fit into the limit. A limit that refuses them in
// calm breaks what callers are promised.
func TestLargestOrdinaryHeadsAreServed(t *testing.T) {
	c, key := startCrowdCluster(t, 0)
	for _, name := range []string{"one-letter names", "distinct names", "one name"} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			crowdtest.RequireAnswered(t, c.Address(Zones()[0]), name, "POST /balances HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+key+"\r\n")
		})
	}
}

// TestConnectionsLeaveDescriptors has clients open more connections than the process has descriptors. A process that accepts them all can
// no longer connect to its backend servers.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	c, key := startCrowdCluster(t, crowdDescriptors)
	zone := Zones()[0]
	start := "POST /balances HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\n"
	starts := []struct{ name, text string }{
		{"nothing sent", ""},
		{"a byte sent", "P"},
		{"idle", "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"body not sent", start + "Content-Length: 100\r\n\r\n"},
	}
	for _, s := range starts {
		t.Run(s.name, func(t *testing.T) {
			c.replaceRouter(t, zone)
			defer crowdtest.SendText(t, c.Address(zone), crowdClients, s.text).Close()
			c.requireCalm(t, zone, key, crowdDescriptors-1)
		})
	}
}
