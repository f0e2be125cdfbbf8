// Package lrtimeline tells from log lines of several instances what became of one request.
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
	// around is the time before and after a request in which events of its backend servers belong to the story.
	around = 3 * time.Second
	// maxLineBytes bounds one log line.
	maxLineBytes = 1 << 20
)

// line is one log line.
type line struct {
	at     time.Time
	fields map[string]any
}

// Write prints the story of the request from the log lines of the readers. Text before the first brace of a line is
// passed over, so that lines that a collector has marked can be read too.
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
	story := choose(lines, request)
	if len(story) == 0 {
		return fmt.Errorf("no log line names request %s; give the logs of all instances, and look for lines that were left out", request)
	}
	for _, l := range story {
		_, err := fmt.Fprintln(output, l.text())
		if err != nil {
			return err
		}
	}
	return nil
}

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
			// Lines of other programs may stand between.
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

// choose returns the lines of the request, and those that tell of its backend servers or its instance meanwhile.
func choose(lines []line, request string) []line {
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
	var story []line
	for _, l := range lines {
		isOwn := l.field("request") == request
		isNear := l.at.After(from.Add(-around)) && l.at.Before(to.Add(around))
		if isOwn || isNear && l.field("request") == "" && (servers[l.field("server")] || instances[l.field("instance")] && l.isBelief()) {
			story = append(story, l)
		}
	}
	return story
}

// isBelief reports whether the line tells what the instance came to believe or did as a whole.
func (l line) isBelief() bool {
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

// text returns the line as a person reads it: time, instance, message, and the other fields by name.
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
