// Package lrcluster runs a small deployment on the local machine: instances of the router and stand-ins of the platform,
// engines, plain services and KV stores, each as a separate process.
package lrcluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
)

const (
	plansFile    = "deploy/magnolia-parish/plans.ini"
	accountsFile = "deploy/magnolia-parish/accounts.ini"
	modelList    = "award-review=2026-11,essay-check=2026-10"
)

// A Cluster is a local deployment of three availability zones, each with one instance, engine, plain service and KV store.
// One platform stand-in serves them all.
type Cluster struct {
	directory string
	platform  string
	processes map[string]*process
	instances []lrplatform.Instance
	// extraSettings is added to the settings of every instance.
	extraSettings string
	// maxDescriptors limits the descriptors of every instance, unless it is zero.
	maxDescriptors int
}

// Zones returns the availability zones of every cluster.
func Zones() []string { return []string{"gulf-south-a", "gulf-south-b", "gulf-south-c"} }

// New returns a Cluster that isn't started yet. It creates a temporary directory, which Stop removes.
func New() (*Cluster, error) {
	directory, err := os.MkdirTemp("", "lavenderrouter-demo-")
	if err != nil {
		return nil, err
	}
	return &Cluster{directory: directory, processes: map[string]*process{}}, nil
}

// Stop kills all processes of the cluster and removes its directory.
func (c *Cluster) Stop() {
	for _, p := range c.processes {
		p.kill()
	}
	_ = os.RemoveAll(c.directory)
}

// Start builds the programs, starts the processes and applies the configuration. The working directory must be the
// root of the repository.
func (c *Cluster) Start() error {
	err := buildPrograms(c.directory)
	if err != nil {
		return err
	}
	c.platform, err = c.startStub("platform", "platform")
	if err != nil {
		return err
	}
	err = c.startBackends()
	if err != nil {
		return err
	}
	err = c.addRouters()
	if err != nil {
		return err
	}
	err = c.publishInstances()
	if err != nil {
		return err
	}
	err = c.configure()
	if err != nil {
		return err
	}
	for _, z := range Zones() {
		err = c.StartRouter(z)
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startBackends() error {
	for _, z := range Zones() {
		for _, role := range []lrplatform.Role{lrplatform.RoleEngine, lrplatform.RoleService, lrplatform.RoleKVStore} {
			name := strings.ToLower(string(role)) + "-" + z
			args := []string{}
			if role == lrplatform.RoleEngine {
				args = append(args, "--name", name, "--models", modelList)
			}
			address, err := c.startStub(name, strings.ToLower(string(role)), args...)
			if err != nil {
				return err
			}
			c.instances = append(c.instances, lrplatform.Instance{
				Name: name, Role: role, Address: address, Zone: z, Service: "disbursement",
				Models: []string{"award-review", "essay-check"},
			})
		}
	}
	return nil
}

func (c *Cluster) startStub(name, kind string, args ...string) (string, error) {
	address, err := freeAddress()
	if err != nil {
		return "", err
	}
	args = append([]string{kind, "--address", address}, args...)
	p := c.newProcess(name, "lavenderstub", args)
	err = p.start()
	if err != nil {
		return "", err
	}
	return address, waitListening(address)
}

func (c *Cluster) newProcess(name, program string, args []string) *process {
	p := &process{
		name: name, program: filepath.Join(c.directory, program), args: args,
		log: filepath.Join(c.directory, name+".log"),
	}
	c.processes[name] = p
	return p
}

// Address returns the address at which the instance of the zone serves callers.
func (c *Cluster) Address(zone string) string { return c.Instance(routerName(zone)).Address }

// Platform returns the address of the platform stand-in.
func (c *Cluster) Platform() string { return c.platform }

// StopRouter stops the instance of the zone by SIGTERM and returns an error unless it exits with code 0.
func (c *Cluster) StopRouter(zone string) error { return c.processes[routerName(zone)].terminate() }

// KillRouter kills the instance of the zone by SIGKILL.
func (c *Cluster) KillRouter(zone string) { c.processes[routerName(zone)].kill() }

// PauseRouter suspends the instance of the zone by SIGSTOP until ResumeRouter is called.
func (c *Cluster) PauseRouter(zone string) error {
	return c.processes[routerName(zone)].signal(syscall.SIGSTOP)
}

// ResumeRouter continues a paused instance.
func (c *Cluster) ResumeRouter(zone string) error {
	return c.processes[routerName(zone)].signal(syscall.SIGCONT)
}

func routerName(zone string) string { return "router-" + zone }

// addRouters assigns the addresses of the instances, so that the list is complete before the first instance starts.
func (c *Cluster) addRouters() error {
	for _, z := range Zones() {
		addresses := make([]string, 3)
		for n := range addresses {
			address, err := freeAddress()
			if err != nil {
				return err
			}
			addresses[n] = address
		}
		c.instances = append(c.instances, lrplatform.Instance{
			Name: routerName(z), Role: lrplatform.RoleRouter, Zone: z,
			Address: addresses[0], AdminAddress: addresses[1], PeerAddress: addresses[2],
		})
	}
	return nil
}

// Instance returns the entry with the name in the platform's list. The name must exist.
func (c *Cluster) Instance(name string) lrplatform.Instance {
	n := slices.IndexFunc(c.instances, func(i lrplatform.Instance) bool { return i.Name == name })
	return c.instances[n]
}

func (c *Cluster) publishInstances() error {
	return put("http://"+c.platform+"/control/instances", c.instances)
}

// StartRouter starts the instance of the zone and waits until it is ready.
func (c *Cluster) StartRouter(zone string) error {
	i := c.Instance(routerName(zone))
	var seeds []string
	for _, other := range c.instances {
		if other.Role == lrplatform.RoleRouter {
			seeds = append(seeds, other.PeerAddress)
		}
	}
	settings := fmt.Sprintf(`[instance]
name = %s
zone = %s
address = %s
adminAddress = %s
peerAddress = %s
[platform]
url = http://%s
[peers]
seeds = %s
[server]
drainDelay = 500ms
[routing]
eventTimeout = 2s
`, i.Name, i.Zone, i.Address, i.AdminAddress, i.PeerAddress, c.platform, strings.Join(seeds, ","))
	path := filepath.Join(c.directory, i.Name+".ini")
	err := os.WriteFile(path, []byte(settings+c.extraSettings), 0o600)
	if err != nil {
		return err
	}
	p := c.newProcess(i.Name, "lavenderrouter", []string{"serve", "--settings", path})
	p.maxDescriptors = c.maxDescriptors
	err = p.start()
	if err != nil {
		return err
	}
	err = waitFor("http://" + i.AdminAddress + "/readyz")
	if err != nil {
		log, _ := os.ReadFile(c.processes[i.Name].log)
		return fmt.Errorf("%w\n%s", err, log)
	}
	return nil
}

func (c *Cluster) configure() error {
	_, err := c.RunCommand("plans", "apply", plansFile)
	if err != nil {
		return err
	}
	_, err = c.RunCommand("accounts", "apply", accountsFile)
	return err
}

// RunCommand runs an operator command of lavenderrouter and returns its output.
func (c *Cluster) RunCommand(args ...string) (string, error) {
	args = append(args, "--platform", "http://"+c.platform, "--who", "demo")
	output, err := exec.Command(filepath.Join(c.directory, "lavenderrouter"), args...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("lavenderrouter %s: %w: %s", strings.Join(args, " "), err, output)
	}
	return string(output), nil
}

// AddKey adds a key for the client account, waits until every instance accepts it, and returns it.
func (c *Cluster) AddKey(account string) (string, error) {
	output, err := c.RunCommand("keys", "add", account)
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`key: (\S+)`).FindStringSubmatch(output)
	if match == nil {
		return "", fmt.Errorf("no key in: %s", output)
	}
	return match[1], c.AwaitKey(match[1], http.StatusOK)
}

// AwaitKey waits until every instance answers a request that carries the key with the status.
func (c *Cluster) AwaitKey(key string, status int) error {
	deadline := time.Now().Add(startTimeout)
	for _, z := range Zones() {
		for {
			got, err := Call(http.MethodGet, c.Address(z), "/v1/models", key, "", "")
			if err == nil && got.Status == status {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s answered %d instead of %d: %s", z, got.Status, status, got.Body)
			}
			time.Sleep(pollDelay)
		}
	}
	return nil
}

// Effects returns how often the plain services have executed each action, by idempotency key.
func (c *Cluster) Effects() (map[string]int, error) {
	counts := map[string]int{}
	for _, z := range Zones() {
		got, err := Call(http.MethodGet, c.Instance("service-"+z).Address, "/control/ledger", "", "", "")
		if err != nil {
			return nil, err
		}
		var effects []lrstub.Effect
		err = json.Unmarshal([]byte(got.Body), &effects)
		if err != nil {
			return nil, fmt.Errorf("the ledger of a service is not readable: %w: %s", err, got.Body)
		}
		for _, e := range effects {
			counts[e.IdempotencyKey]++
		}
	}
	return counts, nil
}

// SetFaults replaces the faults of the stand-in at the address.
func (c *Cluster) SetFaults(address string, faults lrstub.Faults) error {
	return put("http://"+address+"/control/faults", faults)
}

func put(url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, response.StatusCode)
	}
	return nil
}
