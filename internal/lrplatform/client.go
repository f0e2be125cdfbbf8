package lrplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstatus"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrjson"
)

const (
	defaultCallTimeout  = 2 * time.Second
	defaultWatchTimeout = 30 * time.Second
	maxErrorBytes       = 1024
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 32 << 20
	// MaxHeadBytes bounds the head of an answer with its interim answers.
	MaxHeadBytes = 64 << 10
	// WatchSecondsParameter is the query parameter that bounds the duration of a watch, in seconds.
	WatchSecondsParameter = "waitSeconds"
	// EraHeader is the header of answers that names the era of the platform's store, a number that rises each time the store comes back from
	// an older copy. Platforms that never do may leave it out.
	EraHeader = "Platform-Era"
)

type client struct {
	base         string
	http         *http.Client
	callTimeout  time.Duration
	watchTimeout time.Duration
	log          zerolog.Logger
	onEra        func(era uint64)
}

// A ClientOption configures the client returned by NewClient.
type ClientOption func(*client)

// WithHTTPClient sets the HTTP client that sends the calls.
func WithHTTPClient(h *http.Client) ClientOption {
	return func(c *client) { c.http = h }
}

// WithCallTimeout sets the timeout of each call other than a watch.
func WithCallTimeout(timeout time.Duration) ClientOption {
	return func(c *client) { c.callTimeout = timeout }
}

// WithLog sets where malformed entries are logged.
func WithLog(log zerolog.Logger) ClientOption {
	return func(c *client) { c.log = log }
}

// WithEraObserver has each answer that names an era reported to the observer, which must not block.
func WithEraObserver(observer func(era uint64)) ClientOption {
	return func(c *client) { c.onEra = observer }
}

// NewClient returns a Platform that calls the API at the base URL, such as "http://127.0.0.1:9000".
func NewClient(base string, options ...ClientOption) Platform {
	c := &client{
		base:         strings.TrimSuffix(base, "/"),
		http:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, MaxResponseHeaderBytes: MaxHeadBytes}},
		log:          zerolog.Nop(),
		onEra:        func(uint64) {},
		callTimeout:  defaultCallTimeout,
		watchTimeout: defaultWatchTimeout,
	}
	for _, o := range options {
		o(c)
	}
	c.http = lrstatus.WithCheck(c.http)
	return c
}

func (c *client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.callForObject(ctx, http.MethodGet, objectPath(kind, name), nil)
}

func (c *client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	var objects []Object
	path := "/objects/" + url.PathEscape(kind) + "?prefix=" + url.QueryEscape(prefix)
	_, err := c.call(ctx, http.MethodGet, path, nil, &objects)
	return objects, err
}

func (c *client) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	return c.callForObject(ctx, http.MethodPost, objectPath(kind, name), value)
}

func (c *client) Update(ctx context.Context, object Object) (Object, error) {
	return c.callForObject(ctx, http.MethodPut, versionedPath(object), object.Value)
}

func (c *client) Delete(ctx context.Context, object Object) error {
	_, err := c.call(ctx, http.MethodDelete, versionedPath(object), nil, nil)
	return err
}

func (c *client) Watch(ctx context.Context, kind string, after uint64) (Changes, error) {
	changes := Changes{Revision: after}
	ctx, cancel := context.WithTimeout(ctx, c.watchTimeout+c.callTimeout)
	defer cancel()
	path := fmt.Sprintf("/watch/%s?after=%d&%s=%d", url.PathEscape(kind), after,
		WatchSecondsParameter, int(c.watchTimeout.Seconds()))
	_, err := c.do(ctx, http.MethodGet, path, nil, &changes)
	return changes, err
}

// Instances returns the instances that the platform lists. Malformed entries, which other writers may have left, are omitted.
func (c *client) Instances(ctx context.Context) ([]Instance, error) {
	var list instanceList
	_, err := c.call(ctx, http.MethodGet, "/instances", nil, &list)
	if err != nil {
		return nil, err
	}
	instances := make([]Instance, 0, len(list.entries))
	for _, entry := range list.entries {
		i, err := decodeInstance(entry)
		if err != nil {
			c.log.Warn().Err(err).Msg("platform: entry of an instance is malformed")
			continue
		}
		instances = append(instances, i)
	}
	return instances, nil
}

// instanceList holds the entries of a list that are not decoded yet.
type instanceList struct{ entries []json.RawMessage }

// DecodeDocument splits the list.
func (l *instanceList) DecodeDocument(data []byte) error {
	var err error
	l.entries, err = lrjson.SplitArray(data)
	return err
}

func decodeInstance(entry json.RawMessage) (Instance, error) {
	var i Instance
	err := json.Unmarshal(entry, &i)
	if err != nil {
		return i, err
	}
	if i.Name == "" || !i.Role.isKnown() {
		return i, ErrInvalid.New("instance %.64q has no name or the unknown role %.64q", i.Name, i.Role)
	}
	for _, address := range []string{i.Address, i.PeerAddress, i.AdminAddress} {
		if address == "" {
			continue
		}
		parsed, err := netip.ParseAddrPort(address)
		if err != nil || parsed.Port() == 0 {
			return i, ErrInvalid.New("nobody can listen at address %.64q of instance %.64q", address, i.Name)
		}
	}
	return i, nil
}

// callForObject makes a call that is answered with an object. A failed one returns the era alone.
func (c *client) callForObject(ctx context.Context, method, path string, body []byte) (Object, error) {
	var object Object
	era, err := c.call(ctx, method, path, body, &object)
	if err != nil {
		return Object{Era: era}, err
	}
	object.Era = era
	return object, nil
}

func (c *client) call(ctx context.Context, method, path string, body []byte, result any) (era uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	return c.do(ctx, method, path, body, result)
}

// do makes a call and returns the era that the answer names.
func (c *client) do(ctx context.Context, method, path string, body []byte, result any) (era uint64, err error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, ErrInvalid.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, classifyTransport(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	era = c.readEra(response)
	if response.StatusCode >= http.StatusBadRequest {
		return era, classifyStatus(method, response)
	}
	if result == nil || response.StatusCode == http.StatusNoContent {
		return era, nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil {
		// An answer that was cut off, because it is too long or the connection broke, is malformed.
		err = lrjson.Decode(data, result)
	}
	if err != nil {
		return era, classifyTransport(method, err)
	}
	return era, nil
}

// readEra returns the era that the response names, or zero if it names none that is a number.
func (c *client) readEra(response *http.Response) uint64 {
	era, err := strconv.ParseUint(response.Header.Get(EraHeader), 10, 64)
	if err != nil {
		return 0
	}
	c.onEra(era)
	return era
}

// classifyTransport returns ErrUnknown for a write that may have reached the platform, and ErrUnavailable otherwise.
func classifyTransport(method string, err error) error {
	var dial *net.OpError
	if method == http.MethodGet || (errors.As(err, &dial) && dial.Op == "dial") {
		return ErrUnavailable.Wrap(err)
	}
	return ErrUnknown.Wrap(err)
}

func classifyStatus(method string, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	message := strings.TrimSpace(string(text))
	switch response.StatusCode {
	case http.StatusNotFound:
		return ErrNotFound.New("%s", message)
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict.New("%s", message)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable.New("%s", message)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return ErrInvalid.New("%s", message)
	}
	if method == http.MethodGet {
		return ErrUnavailable.New("status %d: %s", response.StatusCode, message)
	}
	return ErrUnknown.New("status %d: %s", response.StatusCode, message)
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func versionedPath(o Object) string {
	return objectPath(o.Kind, o.Name) + "?version=" + strconv.FormatUint(o.Version, 10)
}
