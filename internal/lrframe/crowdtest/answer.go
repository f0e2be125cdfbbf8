package crowdtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answerTimeout bounds the wait for the answer to a single request.
const answerTimeout = 10 * time.Second

// RequireAnswered sends a single request of the kind with its body, and checks that the answer is a success.
func RequireAnswered(t *testing.T, address, kind, start string) {
	t.Helper()
	for _, k := range Kinds() {
		if k.Name == kind {
			k.fields, k.body = "Content-Length: 4\r\n", "body"
			requireSuccess(t, address, k.text(start))
		}
	}
}

// RequireBodyAnswered sends a single request with a body of the size, and checks that the answer is a success.
func RequireBodyAnswered(t *testing.T, address, start string, bytes int) {
	t.Helper()
	requireSuccess(t, address, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", start, bytes, strings.Repeat("x", bytes)))
}

func requireSuccess(t *testing.T, address, text string) {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	_, err = io.WriteString(conn, text)
	if err != nil {
		t.Fatalf("send: %v", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK || err != nil {
		t.Fatalf("status %d, error %v: %.300s", response.StatusCode, err, data)
	}
}
