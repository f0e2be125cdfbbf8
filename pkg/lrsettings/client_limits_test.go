package lrsettings

import (
	"strings"
	"testing"
)

const minimal = "[platform]\nurl = http://127.0.0.1:1\n[instance]\nname = a\nzone = b\n"

// The platform leaves values empty that it does not have. An instance must start without them.
func TestEmptyNumbersAreDefaults(t *testing.T) {
	settings, mistakes := Parse("test", []byte(minimal+"memoryMB =\nmaxDescriptors =\n"))
	if len(mistakes) > 0 {
		t.Fatal(mistakes)
	}
	if settings.Server != Default().Server || settings.Instance.MemoryMB != 0 || settings.Instance.MaxDescriptors != 0 {
		t.Fatalf("got %+v", settings.Server)
	}
	_, mistakes = Parse("test", []byte(minimal+"[server]\nidleTimeout =\nmaxHeldBytes =\n"))
	if len(mistakes) != 2 {
		t.Fatalf("mistakes %v, want two", mistakes)
	}
}

// Limits of clients that refuse ordinary requests, or do not fit into the memory, must be found at the start and not under attack.
func TestClientLimitsAreChecked(t *testing.T) {
	for _, text := range []string{
		"[server]\nmaxHeldBytes = 100", "[server]\nmaxHeaderLines = 5", "[server]\nmaxConnections = 2", "memoryMB = 40", "memoryMB = x",
		"maxDescriptors = -1", "[server]\nstallTimeout = soon",
	} {
		_, mistakes := Parse("test", []byte(minimal+text+"\n"))
		if len(mistakes) != 1 || !strings.HasPrefix(mistakes[0].Error(), "test: [") {
			t.Errorf("%q: got %v, want one mistake", text, mistakes)
		}
	}
	_, mistakes := Parse("test", []byte(minimal+"memoryMB = 112\nmaxDescriptors = 4100\n[server]\nmaxHeldBytes = 16777216\nmaxHeaderLines = 64\nmaxConnections = 8\n"))
	if len(mistakes) > 0 {
		t.Error(mistakes)
	}
}
