package lrcommand

import (
	"bytes"
	"net/http/httptest"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
)

// commandRunner runs commands against a stand-in of the platform.
type commandRunner struct {
	t        *testing.T
	platform string
}

func newCommandRunner(t *testing.T) *commandRunner {
	t.Helper()
	server := httptest.NewServer(lrstub.NewPlatform())
	t.Cleanup(server.Close)
	return &commandRunner{t: t, platform: server.URL}
}

// run returns the exit code and the output, with everything replaced that differs from run to run.
func (r *commandRunner) run(args ...string) (int, string) {
	r.t.Helper()
	var output bytes.Buffer
	code := Execute(append(args, "--platform", r.platform, "--who", "crew"), &output, &output)
	return code, normalize(output.String())
}

// normalize replaces keys, times, hashes and addresses by placeholders.
func normalize(text string) string {
	text = regexp.MustCompile(`lr_[0-9a-f_]+`).ReplaceAllString(text, "KEY")
	text = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`).ReplaceAllString(text, "TIME")
	text = regexp.MustCompile(`"(salt|digest)":( ?)"[0-9a-f]+"`).ReplaceAllString(text, `"$1":$2"HEX"`)
	text = regexp.MustCompile(`\b[0-9a-f]{16}\b`).ReplaceAllString(text, "KEY-ID")
	return regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(text, "ADDRESS")
}

func TestOperatorSession(t *testing.T) {
	r := newCommandRunner(t)
	plans, accounts := deployed("plans.ini"), deployed("accounts.ini")
	var transcript strings.Builder
	for _, line := range [][]string{
		{"plans", "apply", plans, "--dry-run"},
		{"accounts", "apply", accounts},
		{"plans", "apply", plans},
		{"plans", "apply", plans},
		{"accounts", "apply", accounts},
		{"keys", "add", "parish-office"},
		{"keys", "add", "nobody"},
		{"keys", "withdraw", "0000000000000000"},
		{"plans", "apply", plans, "--base", "7"},
		{"accounts", "get"},
		{"keys", "list"},
		{"audit", "--limit", "1"},
		{"keys", "withdrawal"},
	} {
		code, output := r.run(line...)
		transcript.WriteString("$ lavenderrouter " + strings.Join(relative(line), " ") + "\n" + output)
		if code != 0 {
			transcript.WriteString("(exit code not 0)\n")
		}
	}
	goldie.New(t).Assert(t, "session", []byte(transcript.String()))
}

func TestUnreachablePlatformIsReported(t *testing.T) {
	r := newCommandRunner(t)
	r.platform = "http://127.0.0.1:1"
	for _, args := range [][]string{{"status"}, {"audit"}, {"plans", "get"}, {"keys", "list"}, {"keys", "add", "x"}} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			code, output := r.run(args...)
			if code != exitFailure || !strings.Contains(output, "from the platform") {
				t.Fatalf("exit code %d: %s", code, output)
			}
		})
	}
}

func TestCheck(t *testing.T) {
	cases := []struct {
		name string
		args []string
	}{
		{"vaatenaulakeskus", []string{"--settings", "../../deploy/vaatenaulakeskus/instance.ini", "--plans", "../../deploy/vaatenaulakeskus/plans.ini", "--accounts", "../../deploy/vaatenaulakeskus/accounts.ini"}},
		{"magnolia", []string{"--settings", deployed("instance.ini"), "--plans", deployed("plans.ini"), "--accounts", deployed("accounts.ini")}},
		{"mistakes", []string{"--settings", "testdata/bad_instance.ini", "--plans", "testdata/bad_plans.ini"}},
		{"unknown-names", []string{"--plans", "testdata/unknown_names.ini", "--accounts", "testdata/unknown_names.ini"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var output bytes.Buffer
			_ = Execute(append([]string{"check"}, c.args...), &output, &output)
			goldie.New(t).Assert(t, "check-"+c.name, output.Bytes())
		})
	}
}

func deployed(file string) string { return filepath.Join("../../deploy/magnolia-parish", file) }

func relative(args []string) []string {
	shown := make([]string, len(args))
	for n, a := range args {
		shown[n] = filepath.Base(a)
	}
	return shown
}
