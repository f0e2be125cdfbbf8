package lrlog

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

func fixedClock() time.Time { return time.Date(2026, 12, 4, 8, 0, 0, 123e6, time.UTC) }

// A reader that reads nothing must not block the logger. The test writes far more than the buffer of a pipe holds.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	reader, writer, err := os.Pipe()
	requireEqual(t, err, nil)
	log, _ := New(writer, zerolog.InfoLevel, 0, fixedClock)
	done := make(chan struct{})
	go func() {
		for range 50_000 {
			log.Info().Str("filler", strings.Repeat("x", 100)).Msg("test")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("writing to the log blocks")
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	requireEqual(t, writer.Close(), nil)
}

func TestLinesHaveTheTimeInMilliseconds(t *testing.T) {
	var output bytes.Buffer
	log, closeLog := New(&output, zerolog.InfoLevel, 0, fixedClock)
	log.Info().Str("request", "r").Msg("test")
	log.Debug().Msg("not written")
	closeLog()
	requireEqual(t, output.String(), `{"level":"info","request":"r","time":"2026-12-04T08:00:00.123Z","message":"test"}`+"\n")
}

// Lines below the level of a warning that use up their limit must leave lines for warnings.
func TestWarningsHaveReservedLines(t *testing.T) {
	now, omitted := fixedClock(), 0
	b := newLineLimiter(10, func() time.Time { return now }, func(n int) { omitted = n })
	passed := map[zerolog.Level]int{}
	for range 20 {
		if b.Sample(zerolog.InfoLevel) {
			passed[zerolog.InfoLevel]++
		}
	}
	for range 20 {
		if b.Sample(zerolog.WarnLevel) {
			passed[zerolog.WarnLevel]++
		}
	}
	requireEqual(t, passed[zerolog.InfoLevel], 5)
	requireEqual(t, passed[zerolog.WarnLevel], 5)
	now = now.Add(time.Second)
	requireEqual(t, b.Sample(zerolog.InfoLevel), true)
	requireEqual(t, omitted, 30)
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// BenchmarkRequestLine measures the cost of the log line of one request for the goroutine that serves it.
func BenchmarkRequestLine(b *testing.B) {
	log, closeLog := New(io.Discard, zerolog.InfoLevel, 0, time.Now)
	defer closeLog()
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str("request", "1582ba446fd4eace").Str("route", "r-m82thhk").Str("account", "sese880").Str("server", "i-7f3a91c2").
			Int("sends", 1).Str("outcome", "served").Dur("took", 41*time.Millisecond).Uint64("table", 15).Int64("weights", 4).
			Int("missing", 1228).Int("fetched", 0).Int("rank", 0).Int("candidates", 12).Msg("request: ended")
	}
}
