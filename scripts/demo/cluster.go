package main

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

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
)

const (
	plansFile    = "deploy/magnolia-parish/plans.ini"
	accountsFile = "deploy/magnolia-parish/accounts.ini"
	modelList    = "award-review=2026-11,essay-check=2026-10"
)

// cluster is a deployment on this machine: three availability zones with one of each part.
type cluster struct {
	directory string
	platform  string
	processes map[string]*process
	instances []lrplatform.Instance
}

func zones() []string { return []string{"gulf-south-a", "gulf-south-b", "gulf-south-c"} }

func newCluster() (*cluster, error) {
	directory, err := os.MkdirTemp("", "lavenderrouter-demo-")
	if err != nil {
		return nil, err
	}
	return &cluster{directory: directory, processes: map[string]*process{}}, nil
}

func (c *cluster) stop() {
	for _, p := range c.processes {
		p.kill()
	}
	_ = os.RemoveAll(c.directory)
}

func (c *cluster) start() error {
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
	for _, z := range zones() {
		err = c.startRouter(z)
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startBackends() error {
	for _, z := range zones() {
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

func (c *cluster) startStub(name, kind string, args ...string) (string, error) {
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

func (c *cluster) newProcess(name, program string, args []string) *process {
	p := &process{
		name: name, program: filepath.Join(c.directory, program), args: args,
		log: filepath.Join(c.directory, name+".log"),
	}
	c.processes[name] = p
	return p
}

func routerName(zone string) string { return "router-" + zone }

// addRouters chooses the addresses of the instances, so that the list is complete before the first one starts.
func (c *cluster) addRouters() error {
	for _, z := range zones() {
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

func (c *cluster) instance(name string) lrplatform.Instance {
	n := slices.IndexFunc(c.instances, func(i lrplatform.Instance) bool { return i.Name == name })
	return c.instances[n]
}

func (c *cluster) publishInstances() error {
	return put("http://"+c.platform+"/control/instances", c.instances)
}

func (c *cluster) startRouter(zone string) error {
	i := c.instance(routerName(zone))
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
	err := os.WriteFile(path, []byte(settings), 0o600)
	if err != nil {
		return err
	}
	err = c.newProcess(i.Name, "lavenderrouter", []string{"serve", "--settings", path}).start()
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

func (c *cluster) configure() error {
	_, err := c.operate("plans", "apply", plansFile)
	if err != nil {
		return err
	}
	_, err = c.operate("accounts", "apply", accountsFile)
	return err
}

// operate runs an operator's command and returns what it printed.
func (c *cluster) operate(args ...string) (string, error) {
	args = append(args, "--platform", "http://"+c.platform, "--who", "demo")
	output, err := exec.Command(filepath.Join(c.directory, "lavenderrouter"), args...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("lavenderrouter %s: %w: %s", strings.Join(args, " "), err, output)
	}
	return string(output), nil
}

// addKey adds a key for the client account and returns it.
func (c *cluster) addKey(account string) (string, error) {
	output, err := c.operate("keys", "add", account)
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`key: (\S+)`).FindStringSubmatch(output)
	if match == nil {
		return "", fmt.Errorf("no key in: %s", output)
	}
	return match[1], nil
}

// setFaults replaces the faults of a stand-in.
func (c *cluster) setFaults(address string, faults lrstub.Faults) error {
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
