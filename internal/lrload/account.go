package lrload

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// An Account is a client account that sends requests, with the limits of its plan.
type Account struct {
	Name string
	Key  string
	// Rate is in tokens per second, Burst in tokens.
	Rate  float64
	Burst float64
}

func readAccounts(path string) ([]Account, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	var accounts []Account
	for line := range strings.Lines(string(data)) {
		if strings.TrimSpace(line) == "" {
			continue
		}
		var account Account
		_, err = fmt.Sscan(line, &account.Name, &account.Key, &account.Rate, &account.Burst)
		if err != nil {
			return nil, fmt.Errorf("%s: each line must be \"ACCOUNT KEY RATE BURST\": %w", path, err)
		}
		accounts = append(accounts, account)
	}
	if len(accounts) == 0 {
		return nil, errors.New("the key file is empty; write a line \"ACCOUNT KEY RATE BURST\" for each client account")
	}
	return accounts, nil
}
