package aqstandin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// CallerOutcome is the outcome of one request as the caller sees it.
type CallerOutcome int

// The outcomes that a caller can distinguish.
const (
	CallerAnswered CallerOutcome = iota + 1
	CallerRefused
	CallerUnknown
	// CallerWrong means that a complete response belongs to another request or does
	// not match its body hash. It must never occur.
	CallerWrong
)

// CallerCounts counts requests by outcome.
type CallerCounts struct {
	Answered int
	Refused  int
	Unknown  int
	Wrong    int
}

// Add counts one outcome.
func (c *CallerCounts) Add(o CallerOutcome) {
	switch o {
	case CallerAnswered:
		c.Answered++
	case CallerRefused:
		c.Refused++
	case CallerUnknown:
		c.Unknown++
	case CallerWrong:
		c.Wrong++
	}
}

// CallerRequest is one request of a caller.
type CallerRequest struct {
	Service string
	ID      string
	// NonIdempotent makes it a POST with an idempotency key, which must run at most
	// once.
	NonIdempotent bool
	Work          time.Duration
	Size          int
	Urgency       string
	Name          string
	Timeout       time.Duration
}

// Caller sends requests to the gateways in turn, as a load balancer does, and tries
// the next gateway when one refuses the connection.
type Caller struct {
	gateways []string
	client   *http.Client
	next     atomic.Uint64
}

const maxIdleConns = 256

// NewCaller returns a caller of the gateways.
func NewCaller(gateways []string) *Caller {
	return &Caller{
		gateways: gateways,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
	}
}

// Call sends one request and returns its outcome.
func (c *Caller) Call(ctx context.Context, r CallerRequest) CallerOutcome {
	outcome, reached := CallerRefused, false
	first := c.next.Add(1)
	for i := range uint64(len(c.gateways)) {
		gateway := c.gateways[(first+i)%uint64(len(c.gateways))]
		if outcome, reached = c.callGateway(ctx, gateway, r); reached {
			break
		}
	}
	return outcome
}

// callGateway sends the request to one gateway. It reports false when the gateway
// refused the connection.
func (c *Caller) callGateway(ctx context.Context, gateway string, r CallerRequest) (CallerOutcome, bool) {
	request, err := c.request(ctx, gateway, r)
	if err != nil {
		return CallerRefused, false
	}
	response, err := c.client.Do(request)
	if err != nil {
		outcome := classifyError(err)
		return outcome, outcome != CallerRefused
	}
	return classifyResponse(r, response), true
}

func classifyResponse(r CallerRequest, response *http.Response) CallerOutcome {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return CallerUnknown
	case response.Header.Get("Aq-Outcome") == "refused-not-run":
		return CallerRefused
	case response.StatusCode != http.StatusOK:
		return CallerUnknown
	case CheckAnswer(r.ID, response.Header, body) != "":
		return CallerWrong
	}
	return CallerAnswered
}

// classifyError returns CallerRefused for a refused connection, over which no request
// was sent, and CallerUnknown for every other error.
func classifyError(err error) CallerOutcome {
	if strings.Contains(err.Error(), "connection refused") {
		return CallerRefused
	}
	return CallerUnknown
}

func (c *Caller) request(ctx context.Context, gateway string, r CallerRequest) (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	if r.NonIdempotent {
		method = http.MethodPost
		body = strings.NewReader("order " + r.ID)
	}
	url := fmt.Sprintf("http://%s/%s/run?work=%s&size=%d", gateway, r.Service, r.Work, max(r.Size, 1))
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set(HeaderRequestID, r.ID)
	if r.NonIdempotent {
		request.Header.Set(HeaderIdempotencyKey, r.ID)
	}
	if r.Urgency != "" {
		request.Header.Set("Aq-Urgency", r.Urgency)
	}
	if r.Name != "" {
		request.Header.Set("Aq-Caller", r.Name)
	}
	if r.Timeout > 0 {
		request.Header.Set("Aq-Timeout-Millis", fmt.Sprint(r.Timeout.Milliseconds()))
	}
	return request, nil
}
