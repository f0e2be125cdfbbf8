package lrpeer

import (
	"testing"

	"google.golang.org/grpc/credentials/insecure"
)

func TestPoolClosesConnectionsToRemovedInstances(t *testing.T) {
	pool := NewPool(insecure.NewCredentials())
	defer pool.Close()
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		_, err := pool.Connection(address)
		if err != nil {
			t.Fatal(err)
		}
	}
	pool.Retain(map[string]bool{"127.0.0.1:2": true})
	if pool.Len() != 1 {
		t.Fatalf("%d connections, want 1", pool.Len())
	}
}
