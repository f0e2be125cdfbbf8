package lrcluster

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 20 * time.Second
	pollDelay    = 20 * time.Millisecond
)

// process is a program that runs as a child process. Its output goes to a log file.
type process struct {
	name    string
	program string
	args    []string
	log     string
	// maxDescriptors limits the descriptors that the process may have open. Zero leaves the limit of the parent.
	maxDescriptors int
	command        *exec.Cmd
	exited         chan struct{}
	result         error
}

func (p *process) start() error {
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	p.command = exec.Command(p.program, p.args...)
	if p.maxDescriptors > 0 {
		// The shell is replaced by the program.
		script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, p.maxDescriptors)
		p.command = exec.Command("/bin/sh", append([]string{"-c", script, p.program}, p.args...)...)
	}
	p.command.Stdout, p.command.Stderr = output, output
	err = p.command.Start()
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd) {
		p.result = command.Wait()
		close(p.exited)
	}(p.command)
	return nil
}

// terminate sends SIGTERM and waits until the process has exited.
func (p *process) terminate() error {
	err := p.command.Process.Signal(syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-p.exited:
		p.command = nil
		return p.result
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not stop within %s", p.name, stopTimeout)
	}
}

func (p *process) signal(signal os.Signal) error {
	return p.command.Process.Signal(signal)
}

func (p *process) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.exited
	p.command = nil
}

// freeAddress returns an unused address on the loopback interface.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// waitFor polls the URL until it answers with status 200.
func waitFor(url string) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollDelay)
	}
	return fmt.Errorf("%s did not become ready within %s", url, startTimeout)
}

func buildPrograms(directory string) error {
	for _, name := range []string{"lavenderrouter", "lavenderstub"} {
		command := exec.Command("go", "build", "-o", filepath.Join(directory, name), "./cmd/"+name)
		command.Stderr = os.Stderr
		err := command.Run()
		if err != nil {
			return fmt.Errorf("build %s: %w", name, err)
		}
	}
	return nil
}

// waitListening waits until something accepts connections at the address.
func waitListening(address string) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		connection, err := net.Dial("tcp", address)
		if err == nil {
			return connection.Close()
		}
		time.Sleep(pollDelay)
	}
	return fmt.Errorf("nothing listens at %s after %s", address, startTimeout)
}
