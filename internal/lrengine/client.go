package lrengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
)

const (
	maxEventBytes = 1 << 20
	maxErrorBytes = 1024
)

type dialer struct {
	http *http.Client
}

type client struct {
	base string
	http *http.Client
}

type stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	cancel  context.CancelFunc
}

// NewDialer returns a Dialer that speaks HTTP with newline-delimited JSON.
func NewDialer(h *http.Client) Dialer {
	return &dialer{http: h}
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
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEventBytes)
	return &stream{body: response.Body, scanner: scanner, cancel: cancel}, nil
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
	err = json.NewDecoder(response.Body).Decode(result)
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
	response, err := c.http.Do(request)
	if err != nil {
		return nil, classify(err)
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return nil, classifyStatus(response.StatusCode, strings.TrimSpace(string(text)))
}

func classify(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return ErrNotSent.Wrap(err)
	}
	return ErrBroken.Wrap(err)
}

func classifyStatus(status int, message string) error {
	switch status {
	case http.StatusPreconditionFailed:
		return ErrStaleFence.New("%s", message)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusConflict, http.StatusNotFound:
		return ErrRefused.New("%s", message)
	default:
		return ErrBroken.New("status %d: %s", status, message)
	}
}

func (s *stream) Next() (Event, error) {
	var event Event
	if !s.scanner.Scan() {
		err := s.scanner.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return event, ErrBroken.Wrap(err)
	}
	err := json.Unmarshal(s.scanner.Bytes(), &event)
	if err != nil {
		return event, ErrProtocol.Wrap(err)
	}
	return event, nil
}

func (s *stream) Close() error {
	s.cancel()
	return s.body.Close()
}
