package main

import (
	"fmt"
	"net/http"

	"github.com/lavenderrouter/lavenderrouter/internal/lrcluster"
)

// showPaidCall sends the same paid action through two instances and checks that it has one effect.
func showPaidCall(c *lrcluster.Cluster) (string, error) {
	key, err := c.AddKey("north-school")
	if err != nil {
		return "", err
	}
	const action = "award-4711"
	var answers [2]lrcluster.Answer
	for n := range answers {
		answers[n], err = lrcluster.Call(http.MethodPost, c.Address(lrcluster.Zones()[n]), "/disbursements", key, action, `{"amount":100}`)
		if err != nil {
			return "", err
		}
		if answers[n].Status != http.StatusOK {
			return "", fmt.Errorf("status %d: %s", answers[n].Status, answers[n].Body)
		}
	}
	if answers[0].Body != answers[1].Body {
		return "", fmt.Errorf("the second answer differs: %s", answers[1].Body)
	}
	effects, err := c.Effects()
	if err != nil {
		return "", err
	}
	if effects[action] != 1 {
		return "", fmt.Errorf("the action had %d effects", effects[action])
	}
	return "2 equal answers from 2 instances, 1 effect", nil
}
