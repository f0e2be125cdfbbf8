package lrengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstatus"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
)

const (
	maxErrorBytes = 1024
	// maxAnswerBytes bounds the answers to calls other than Generate. The largest ones are batches of cache events.
	maxAnswerBytes = 16 << 20
	// maxHeadBytes bounds the head of an answer with its interim answers.
	maxHeadBytes = 64 << 10
)

// NewTransport returns a transport to engines, which bounds the heads of their answers.
func NewTransport(idleConnections int, dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: idleConnections, DialContext: dial, MaxResponseHeaderBytes: maxHeadBytes}
}

type dialer struct {
	http *http.Client
}

type client struct {
	base string
	http *http.Client
}

// NewDialer returns a Dialer for engines that serve HTTP and stream events as newline-delimited JSON.
func NewDialer(h *http.Client) Dialer {
	return &dialer{http: lrstatus.WithCheck(h)}
}

func (d *dialer) Dial(address string) Engine {
	return &client{base: "http://" + address, http: d.http}
}

func (c *client) Generate(ctx context.Context, request Request) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.send(ctx, http.MethodPost, "/v1/generate", request) //nolint:bodyclose // The stream closes the body.
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(response.Body, cancel), nil
}

func (c *client) Cancel(ctx context.Context, requestID string) error {
	return c.exchange(ctx, http.MethodDelete, "/v1/generate/"+url.PathEscape(requestID), nil, nil)
}

func (c *client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.exchange(ctx, http.MethodGet, "/load", nil, &load)
	return load, err
}

func (c *client) Events(ctx context.Context, from uint64) (EventBatch, error) {
	var batch EventBatch
	err := c.exchange(ctx, http.MethodGet, fmt.Sprintf("/events?from=%d", from), nil, &batch)
	return batch, err
}

func (c *client) Order(ctx context.Context, order Order) error {
	return c.exchange(ctx, http.MethodPost, "/orders", order, nil)
}

func (c *client) exchange(ctx context.Context, method, path string, body, result any) error {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if result == nil {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return ErrBroken.Wrap(err)
	case len(data) > maxAnswerBytes:
		return ErrProtocol.New("answer above %d bytes", maxAnswerBytes)
	}
	err = json.Unmarshal(data, result)
	if err != nil {
		return ErrBroken.Wrap(err)
	}
	return nil
}

func (c *client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, ErrRefused.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	var connection atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connection.Store(&info.Conn) }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil && connection.Load() == nil {
		return nil, ErrNotSent.Wrap(err)
	}
	if err != nil {
		return nil, ErrBroken.Wrap(err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	// Answers of engines carry no request ID. A refusal that comes twice must not be taken for the answer to the next request.
	used := connection.Load()
	if used != nil {
		defer func() { _ = (*used).Close() }()
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	err = classifyStatus(response.StatusCode, strings.TrimSpace(string(text)))
	pause := lrnotice.ParsePause(response.Header.Values("Retry-After"))
	if response.StatusCode == http.StatusServiceUnavailable && pause > 0 {
		err = ErrRefused.Wrap(&PauseError{Pause: pause, Message: strings.TrimSpace(string(text))})
	}
	return nil, err
}

func classifyStatus(status int, message string) error {
	switch status {
	case http.StatusPreconditionFailed:
		return ErrStaleFence.New("%s", message)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusConflict, http.StatusNotFound:
		return ErrRefused.New("%s", message)
	default:
		return ErrFailed.New("status %d: %s", status, message)
	}
}
