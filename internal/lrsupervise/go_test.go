package lrsupervise

import (
	"bytes"
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// lockedBuffer is a log output that is safe for concurrent use.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write appends a line.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// A panic in a function or a duty must be logged with its stack and counted, without ending the process.
func TestPanicDoesNotEndTheProcess(t *testing.T) {
	log := &lockedBuffer{}
	supervisor := New("test", zerolog.New(log))
	supervisor.Go("exchange", func() { panic("malformed message") })
	failed := make(chan struct{})
	var once sync.Once
	supervisor.Add("duty", func(ctx context.Context) error {
		first := false
		once.Do(func() { first = true })
		if first {
			panic("malformed entry")
		}
		close(failed)
		<-ctx.Done()
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	Go(zerolog.Nop(), "run", func() {
		defer close(done)
		_ = supervisor.Run(ctx)
	})
	<-failed
	deadline := time.Now().Add(5 * time.Second)
	for supervisor.Panics() < 2 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	if supervisor.Panics() != 2 {
		t.Fatalf("got %d panics, want 2", supervisor.Panics())
	}
	for _, want := range []string{"malformed message", "malformed entry", "go_test.go"} {
		if !strings.Contains(log.text(), want) {
			t.Errorf("the log does not contain %q:\n%s", want, log.text())
		}
	}
}

// A go statement elsewhere would let a panic crash the process. Stand-ins and test helpers are exempt.
func TestOnlyThisPackageStartsGoroutines(t *testing.T) {
	allowed := []string{"lrsupervise/", "lrstub/", "lrcluster/", "lrmetrictest/", "platformtest/"}
	for _, root := range []string{"../../internal", "../../platform", "../../pkg", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			for _, a := range allowed {
				if strings.Contains(filepath.ToSlash(path), a) {
					return nil
				}
			}
			return checkNoGoStatements(t, path)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func checkNoGoStatements(t *testing.T, path string) error {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		statement, ok := n.(*ast.GoStmt)
		if ok {
			t.Errorf("%s starts a goroutine; use lrsupervise.Go", files.Position(statement.Pos()))
		}
		return true
	})
	return nil
}
