package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrgateway"
	"github.com/lavenderrouter/lavenderrouter/internal/lrledger"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

const (
	paidActions     = 2000
	paidBodyBytes   = 512
	paidCallTimeout = 30 * time.Second
	// platformWriteRate is the number of writes per second that the platform accepts.
	platformWriteRate = 300
)

// countingStore is an in-memory platform that counts its calls.
type countingStore struct {
	*lrplatform.Memory
	reads, writes atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, kind, name string) (lrplatform.Object, error) {
	s.reads.Add(1)
	return s.Memory.Get(ctx, kind, name)
}

func (s *countingStore) Create(ctx context.Context, kind, name string, value []byte) (lrplatform.Object, error) {
	s.writes.Add(1)
	return s.Memory.Create(ctx, kind, name, value)
}

func (s *countingStore) Update(ctx context.Context, object lrplatform.Object) (lrplatform.Object, error) {
	s.writes.Add(1)
	return s.Memory.Update(ctx, object)
}

type echoService struct{}

func (echoService) Call(_ context.Context, _ string, request lrservice.Request) (lrservice.Response, error) {
	return lrservice.Response{Status: http.StatusOK, Header: http.Header{}, Body: request.Body}, nil
}

func (echoService) Services(string) []lrplatform.Instance {
	return []lrplatform.Instance{{Name: "service-a", Address: "10.0.0.1:80"}}
}

// measurePaid measures the platform calls and the time per paid action, when it is new and when it is sent again.
func measurePaid(ctx context.Context) ([]figure, error) {
	store := &countingStore{Memory: lrplatform.NewMemory()}
	ledger := lrledger.New(lrledger.Dependencies{
		Store: store, Services: echoService{}, Servers: echoService{}, Log: zerolog.Nop(), Clock: time.Now, RecordViolation: func(string) {},
	}, lrledger.DefaultOptions("router-1", paidCallTimeout))
	began := time.Now()
	err := runPaid(ctx, ledger)
	if err != nil {
		return nil, err
	}
	spent := time.Since(began)
	reads, writes := perAction(&store.reads), perAction(&store.writes)
	err = runPaid(ctx, ledger)
	if err != nil {
		return nil, err
	}
	recordBytes, err := meanRecordBytes(ctx, store)
	missing := math.NaN()
	return []figure{
		{"platformWritesPerAction", writes, missing, missing, "writes"},
		{"platformReadsPerAction", reads, missing, missing, "reads"},
		{"actionsPerSecondAt300Writes", platformWriteRate / writes, missing, missing, "1/s"},
		{"platformWritesPerResend", perAction(&store.writes) - writes, missing, missing, "writes"},
		{"platformReadsPerResend", perAction(&store.reads) - reads, missing, missing, "reads"},
		{"processorTimePerAction", float64(spent.Microseconds()) / paidActions, missing, missing, "us"},
		{"recordBytes", recordBytes, missing, missing, "B"},
	}, err
}

func perAction(count *atomic.Int64) float64 { return float64(count.Load()) / paidActions }

func runPaid(ctx context.Context, ledger *lrledger.Ledger) error {
	route := lrconfig.Route{Name: "disburse", Path: "/disbursements", Service: "disbursement", Paid: true}
	failures := make([]error, 0, paidActions)
	for n := range paidActions {
		key := fmt.Sprint("award-", n)
		_, err := ledger.Run(ctx, time.Now(), lrgateway.PaidRequest{
			RequestID: key, Account: "north-school", Route: route, IdempotencyKey: key,
			Request: lrservice.Request{
				Method: http.MethodPost, Path: route.Path, Header: http.Header{}, Body: bytes.Repeat([]byte{'x'}, paidBodyBytes),
			},
		})
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

func meanRecordBytes(ctx context.Context, store lrplatform.Store) (float64, error) {
	records, err := store.List(ctx, lrplatform.KindPaid, lrpaid.RecordNamePrefix("north-school"))
	total := 0
	for _, r := range records {
		total += len(r.Value)
	}
	return float64(total) / paidActions, err
}
