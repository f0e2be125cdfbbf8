package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrcluster"
)

const (
	// pauseTime exceeds the gap without progress after which an instance counts as paused.
	pauseTime       = 1500 * time.Millisecond
	callsAfterPause = 50
	pausedZone      = "gulf-south-b"
)

// showPause withdraws a key while an instance is paused. The instance must not accept the key after it resumes.
func showPause(c *lrcluster.Cluster) (string, error) {
	key, err := c.AddKey("south-school")
	if err != nil {
		return "", err
	}
	err = c.PauseRouter(pausedZone)
	if err != nil {
		return "", err
	}
	_, err = c.RunCommand("keys", "withdraw", strings.Split(key, "_")[1], "--wait", "0s", "--accept-unconfirmed")
	time.Sleep(pauseTime)
	err = errors.Join(err, c.ResumeRouter(pausedZone))
	if err != nil {
		return "", err
	}
	refused := map[int]int{}
	for range callsAfterPause {
		got, err := lrcluster.Call(http.MethodGet, c.Address(pausedZone), "/v1/models", key, "", "")
		if err != nil {
			return "", err
		}
		if got.Status == http.StatusOK {
			return "", errors.New("the withdrawn key was accepted after the pause")
		}
		refused[got.Status]++
	}
	return fmt.Sprintf("refused from the first call on: %d as unconfirmed, %d as withdrawn",
		refused[http.StatusServiceUnavailable], refused[http.StatusUnauthorized]), nil
}
