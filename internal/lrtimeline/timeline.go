// Package lrtimeline builds the timeline of one request from the log lines of several instances: the lines of the request itself, and
// those about its backend servers and its instances at that time.
package lrtimeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// eventMargin is the time before and after a request in which events of its backend servers and instances belong to its timeline.
	eventMargin = 3 * time.Second
	// maxLineBytes limits the length of one log line.
	maxLineBytes = 1 << 20
)

// line is one log line.
type line struct {
	at     time.Time
	fields map[string]any
}

// Write prints the timeline of the request from the log lines of the readers. It skips the text before the first brace of a line, so
// that it can read lines to which a log collector has added a prefix.
func Write(output io.Writer, request string, logs ...io.Reader) error {
	var lines []line
	for _, l := range logs {
		read, err := readLines(l)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	timeline := selectLines(lines, request)
	if len(timeline) == 0 {
		return fmt.Errorf("no log line names request %s; give the logs of all instances, and look for lines that were left out", request)
	}
	for _, l := range timeline {
		_, err := fmt.Fprintln(output, l.text())
		if err != nil {
			return err
		}
	}
	return nil
}

// readLines returns the log lines of the input and skips all other lines.
func readLines(input io.Reader) ([]line, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var lines []line
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l line
		err := json.Unmarshal([]byte(text[start:]), &l.fields)
		if err != nil {
			// The input may also contain lines of other programs.
			continue
		}
		l.at, err = time.Parse(time.RFC3339Nano, l.field("time"))
		if err != nil {
			continue
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// selectLines returns the lines of the request, and those about its backend servers or the state of its instances around that time.
func selectLines(lines []line, request string) []line {
	var from, to time.Time
	servers, instances := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.field("request") != request {
			continue
		}
		if from.IsZero() {
			from = l.at
		}
		to = l.at
		servers[l.field("server")] = true
		instances[l.field("instance")] = true
	}
	if from.IsZero() {
		return nil
	}
	delete(servers, "")
	var timeline []line
	for _, l := range lines {
		isOwn := l.field("request") == request
		isNear := l.at.After(from.Add(-eventMargin)) && l.at.Before(to.Add(eventMargin))
		if isOwn || isNear && l.field("request") == "" && (servers[l.field("server")] || instances[l.field("instance")] && l.isInstanceState()) {
			timeline = append(timeline, l)
		}
	}
	return timeline
}

// isInstanceState reports whether the line describes a change of the instance's own state, rather than of a backend server.
func (l line) isInstanceState() bool {
	message := l.field("message")
	if l.field("server") != "" {
		return false
	}
	for _, prefix := range []string{"fleet: platform", "fleet: routing", "fleet: weights", "edge:", "weights: lease", "log:"} {
		if strings.HasPrefix(message, prefix) {
			return true
		}
	}
	return false
}

func (l line) field(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// text formats the line for a human reader: time, instance, message, then the other fields sorted by name.
func (l line) text() string {
	parts := []string{l.at.Format("15:04:05.000"), l.field("instance"), l.field("message")}
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		switch name {
		case "time", "instance", "message", "level":
		default:
			parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	return strings.Join(parts, "  ")
}
