package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
)

// showPaidCall sends a paid action through one instance and again through another one.
func showPaidCall(c *cluster) (string, error) {
	key, err := c.addKey("north-school")
	if err != nil {
		return "", err
	}
	err = waitForKey(c, key)
	if err != nil {
		return "", err
	}
	const action = "award-4711"
	var answers [2]answer
	for n := range answers {
		answers[n], err = call(http.MethodPost, c.address(zones()[n]), "/disbursements", key, action, `{"amount":100}`)
		if err != nil {
			return "", err
		}
		if answers[n].status != http.StatusOK {
			return "", fmt.Errorf("status %d: %s", answers[n].status, answers[n].body)
		}
	}
	if answers[0].body != answers[1].body {
		return "", fmt.Errorf("the second answer differs: %s", answers[1].body)
	}
	effects, err := countEffects(c, action)
	if err != nil {
		return "", err
	}
	if effects != 1 {
		return "", fmt.Errorf("the action had %d effects", effects)
	}
	return "2 equal answers from 2 instances, 1 effect", nil
}

// countEffects returns how often the services have carried out the action.
func countEffects(c *cluster, action string) (int, error) {
	count := 0
	for _, z := range zones() {
		got, err := call(http.MethodGet, c.instance("service-"+z).Address, "/control/ledger", "", "", "")
		if err != nil {
			return 0, err
		}
		var effects []lrstub.Effect
		err = json.Unmarshal([]byte(got.body), &effects)
		if err != nil {
			return 0, errors.New("the ledger of a service is not readable: " + got.body)
		}
		for _, e := range effects {
			if e.IdempotencyKey == action {
				count++
			}
		}
	}
	return count, nil
}
