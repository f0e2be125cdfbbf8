package lrgateway

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrframe"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
)

// A Guard checks one condition that a call must meet to be served. Guards run in order, before anything is sent to a backend
// server.
type Guard interface {
	Check(now time.Time, call *Call) error
}

// DefaultGuards returns the guards of a Gateway in the order in which they run.
func DefaultGuards(options Options) []Guard {
	return []Guard{
		&framingGuard{},
		&authenticationGuard{},
		&accountGuard{},
		newConnectionGuard(options.MaxConnectionsPerAccount),
		&bodyGuard{maxBytes: options.MaxBodyBytes, timeout: options.BodyTimeout, memory: options.Memory},
		&leakGuard{maxBytes: options.MaxBodyBytes, memory: options.Memory},
	}
}

// authenticationGuard reads the key of the caller and verifies it. Open routes need no key.
type authenticationGuard struct{}

func (*authenticationGuard) Check(_ time.Time, call *Call) error {
	if call.Route != nil && call.Route.Open && !isModelPath(call.Request.URL.Path) {
		return nil
	}
	key, ok := bearerKey(call.Request.Header.Get("Authorization"))
	if !ok {
		return unauthenticated()
	}
	call.Key = key
	return checkKey(call, call.Snapshot)
}

// isModelPath reports whether the path serves models. Such a path needs a key even if an open route matches it.
func isModelPath(path string) bool {
	return path == chatPath || path == completionsPath || path == modelsPath
}

// checkKey verifies the key of the call against a snapshot.
func checkKey(call *Call, snapshot *lrconfig.Snapshot) error {
	record, ok := snapshot.Key(call.Key.ID())
	if !ok || record.Withdrawn() || !call.Key.Matches(record.Hash) {
		return unauthenticated()
	}
	call.Account.Name = record.Account
	return nil
}

func unauthenticated() error {
	return lrerror.New(lrerror.KindUnauthenticated, lrerror.NotRun,
		"the key is missing, unknown or withdrawn; send a valid one as \"Authorization: Bearer KEY\"")
}

func bearerKey(header string) (lrkey.Key, bool) {
	scheme, value, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return lrkey.Key{}, false
	}
	return lrkey.Parse(strings.TrimSpace(value))
}

// accountGuard looks up the client account of the key and its plan.
type accountGuard struct{}

func (*accountGuard) Check(_ time.Time, call *Call) error {
	if call.Key.ID() == "" {
		return nil
	}
	account, plan, err := findPlan(call.Snapshot, call.Account.Name)
	if err != nil {
		return err
	}
	call.Account, call.Plan = account, plan
	return nil
}

// findPlan returns the client account and its plan.
func findPlan(snapshot *lrconfig.Snapshot, name string) (lrconfig.Account, lrconfig.Plan, error) {
	account, ok := snapshot.Account(name)
	if !ok {
		return account, lrconfig.Plan{}, lrerror.New(lrerror.KindForbidden, lrerror.NotRun,
			"client account %s does not exist any more; ask the operator to add it", name)
	}
	plan, ok := snapshot.Plan(account.Plan)
	if !ok {
		return account, plan, lrerror.New(lrerror.KindForbidden, lrerror.NotRun,
			"plan %s does not exist any more; ask the operator to add it", account.Plan)
	}
	return account, plan, nil
}

// bodyGuard reads the body within the limits on its size and on the time to receive it.
type bodyGuard struct {
	maxBytes int64
	timeout  time.Duration
	memory   *lrmemory.Budget
}

func (b *bodyGuard) Check(now time.Time, call *Call) error {
	controller := http.NewResponseController(call.writer)
	_ = controller.SetReadDeadline(now.Add(b.timeout))
	body, err := b.read(call)
	if err != nil {
		// Some of the body may be unread.
		call.writer.Header().Set("Connection", "close")
		lrframe.LingerOnClose(call.Request.Context())
		return err
	}
	_ = controller.SetReadDeadline(time.Time{})
	call.Body = body
	return nil
}

// read reads the whole body of the request.
func (b *bodyGuard) read(call *Call) ([]byte, error) {
	r := call.Request
	if r.Body == http.NoBody {
		return nil, nil
	}
	reservation := lrframe.NewReservation(r.Context(), b.memory)
	call.addCleanup(reservation.Release)
	body, isWhole, err := lrframe.ReadBody(r, reservation, http.MaxBytesReader(call.writer, r.Body, b.maxBytes), int(b.maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, lrerror.New(lrerror.KindBodyTooLarge, lrerror.NotRun, "the body is above %d bytes; send a shorter one", b.maxBytes)
	case err != nil:
		return nil, lrerror.New(lrerror.KindBadRequest, lrerror.NotRun, "the body did not arrive whole; send it again").WithCause(err)
	case !isWhole:
		return nil, memoryUsedUp()
	default:
		// Trailers are not forwarded, and a client may send many of them.
		r.Trailer = nil
		return body, nil
	}
}

func memoryUsedUp() *lrerror.Error {
	return lrerror.New(lrerror.KindOverloaded, lrerror.NotRun, "this instance holds as many bytes as it may; try again").WithRetryAfter(connectionRetryAfter)
}
