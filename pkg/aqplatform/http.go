package aqplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Paths and the refusal header of the platform's HTTP protocol.
const (
	PathGet          = "/kv/get"
	PathList         = "/kv/list"
	PathPut          = "/kv/put"
	PathDelete       = "/kv/delete"
	PathWatch        = "/kv/watch"
	PathGrantLease   = "/lease/grant"
	PathRenewLease   = "/lease/renew"
	PathRevokeLease  = "/lease/revoke"
	PathHosts        = "/hosts"
	PathOpenSession  = "/worker/open"
	PathRenewSession = "/worker/renew"
	PathCommand      = "/worker/command"

	RefusalHeader = "X-Platform-Refusal"
)

// refusals maps the errors that RefusalHeader carries to their names.
var refusals = []struct {
	name string
	err  error
}{
	{name: "Conflict", err: ErrConflict},
	{name: "NotFound", err: ErrNotFound},
	{name: "Refused", err: ErrRefused},
	{name: "StaleEpoch", err: ErrStaleEpoch},
	{name: "NoSession", err: ErrNoSession},
	{name: "StaleNumber", err: ErrStaleCommandNumber},
}

// RefusalName returns the wire name of one of this package's errors, or an empty
// string if it has none.
func RefusalName(err error) string {
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return ""
}

func refusalError(name string) error {
	for _, r := range refusals {
		if r.name == name {
			return r.err
		}
	}
	return nil
}

// Request and answer bodies of the store's calls.
type (
	// KeyBody is the request body of get, list, put and delete. In a list, Key is a
	// prefix. Only put uses Value and Lease, and only put and delete use Expect.
	KeyBody struct {
		Key    string
		Value  []byte
		Expect Revision
		Lease  LeaseID
	}
	// EntriesBody is the answer of list.
	EntriesBody struct {
		Entries []Entry
	}
	// RevisionBody is the answer of put and watch.
	RevisionBody struct {
		Revision Revision
	}
	// LeaseBody is the request body of the lease calls and the answer of grant.
	LeaseBody struct {
		Lease LeaseID
		TTL   time.Duration
	}
	// WatchBody is the request body of watch.
	WatchBody struct {
		Prefix string
		After  Revision
		Wait   time.Duration
	}
)

const (
	maxAnswerBytes     = 16 << 20
	maxIdleConnections = 4
	// connectionBufferBytes is small because each worker has its own connection.
	connectionBufferBytes = 1 << 10
	idleTimeout           = 60 * time.Second
)

// jsonClient posts JSON bodies and maps failures to this package's errors.
type jsonClient struct {
	httpClient        *http.Client
	outcomeUnknownErr error
}

func newJSONClient(timeout time.Duration, outcomeUnknownErr error) jsonClient {
	return jsonClient{
		httpClient: &http.Client{
			Timeout: timeout,
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
				MaxIdleConnsPerHost: maxIdleConnections,
				IdleConnTimeout:     idleTimeout,
				ReadBufferSize:      connectionBufferBytes,
				WriteBufferSize:     connectionBufferBytes,
			},
		},
		outcomeUnknownErr: outcomeUnknownErr,
	}
}

func (c jsonClient) post(ctx context.Context, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode platform call")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build platform call")
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return errors.WithMessage(c.outcomeUnknownErr, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.WithMessage(c.outcomeUnknownErr, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		if refusal := refusalError(response.Header.Get(RefusalHeader)); refusal != nil {
			return refusal
		}
		return errors.WithMessage(c.outcomeUnknownErr, response.Status)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return errors.WithMessage(c.outcomeUnknownErr, err.Error())
	}
	return nil
}

// HTTPStore is an HTTP client of the platform's store.
type HTTPStore struct {
	base        string
	client      jsonClient
	watchClient jsonClient
}

// NewHTTPStore returns a client of the store at address. timeout limits each call
// except a watch, which watchTimeout limits.
func NewHTTPStore(address string, timeout, watchTimeout time.Duration) *HTTPStore {
	return &HTTPStore{
		base:        "http://" + address,
		client:      newJSONClient(timeout, ErrOutcomeUnknown),
		watchClient: newJSONClient(watchTimeout, ErrOutcomeUnknown),
	}
}

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, key string) (Entry, error) {
	var entry Entry
	err := s.client.post(ctx, s.base+PathGet, KeyBody{Key: key}, &entry)
	return entry, err
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context, prefix string) ([]Entry, error) {
	var entries EntriesBody
	err := s.client.post(ctx, s.base+PathList, KeyBody{Key: prefix}, &entries)
	return entries.Entries, err
}

// Put implements Store.
func (s *HTTPStore) Put(
	ctx context.Context, key string, value []byte, expect Revision, lease LeaseID,
) (Revision, error) {
	var answer RevisionBody
	body := KeyBody{
		Key:    key,
		Value:  value,
		Expect: expect,
		Lease:  lease,
	}
	err := s.client.post(ctx, s.base+PathPut, body, &answer)
	return answer.Revision, err
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, key string, expect Revision) error {
	return s.client.post(ctx, s.base+PathDelete, KeyBody{Key: key, Expect: expect}, nil)
}

// Grant implements Store.
func (s *HTTPStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer LeaseBody
	err := s.client.post(ctx, s.base+PathGrantLease, LeaseBody{TTL: ttl}, &answer)
	return answer.Lease, err
}

// Renew implements Store.
func (s *HTTPStore) Renew(ctx context.Context, lease LeaseID) error {
	return s.client.post(ctx, s.base+PathRenewLease, LeaseBody{Lease: lease}, nil)
}

// Revoke implements Store.
func (s *HTTPStore) Revoke(ctx context.Context, lease LeaseID) error {
	return s.client.post(ctx, s.base+PathRevokeLease, LeaseBody{Lease: lease}, nil)
}

// Watch implements Store.
func (s *HTTPStore) Watch(
	ctx context.Context, prefix string, after Revision, wait time.Duration,
) (Revision, error) {
	var answer RevisionBody
	body := WatchBody{
		Prefix: prefix,
		After:  after,
		Wait:   wait,
	}
	err := s.watchClient.post(ctx, s.base+PathWatch, body, &answer)
	return answer.Revision, err
}

// HTTPHostList reads the platform's list of hosts over HTTP. It sends the ETag of the
// last list, so that the platform does not send an unchanged list again.
type HTTPHostList struct {
	base   string
	client jsonClient

	mu    sync.Mutex
	etag  string
	hosts Hosts
}

// NewHTTPHostList returns a client of the list at address.
func NewHTTPHostList(address string, timeout time.Duration) *HTTPHostList {
	return &HTTPHostList{base: "http://" + address, client: newJSONClient(timeout, ErrOutcomeUnknown)}
}

// Hosts implements HostList.
func (l *HTTPHostList) Hosts(ctx context.Context) (Hosts, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+PathHosts, http.NoBody)
	if err != nil {
		return Hosts{}, errors.Wrap(err, "build platform call")
	}
	if l.etag != "" {
		request.Header.Set("If-None-Match", l.etag)
	}
	response, err := l.client.httpClient.Do(request)
	if err != nil {
		return Hosts{}, errors.WithMessage(ErrOutcomeUnknown, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return l.hosts, nil
	case http.StatusOK:
		return l.update(response)
	}
	return Hosts{}, errors.WithMessage(ErrOutcomeUnknown, response.Status)
}

func (l *HTTPHostList) update(response *http.Response) (Hosts, error) {
	var hosts Hosts
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&hosts); err != nil {
		return Hosts{}, errors.WithMessage(ErrOutcomeUnknown, err.Error())
	}
	l.hosts = hosts
	l.etag = response.Header.Get("ETag")
	return hosts, nil
}

// HTTPWorkers is an HTTP client of the workers.
type HTTPWorkers struct {
	client jsonClient
}

// NewHTTPWorkers returns a client of the workers. timeout limits each call. It must be
// longer than RenewRequest.Wait, for which a worker may delay its answer (long poll).
func NewHTTPWorkers(timeout time.Duration) *HTTPWorkers {
	return &HTTPWorkers{client: newJSONClient(timeout, ErrWorkerOutcomeUnknown)}
}

// Open implements Workers.
func (w *HTTPWorkers) Open(ctx context.Context, address string, r OpenRequest) (SessionAnswer, error) {
	var answer SessionAnswer
	err := w.client.post(ctx, "http://"+address+PathOpenSession, r, &answer)
	return answer, err
}

// Renew implements Workers.
func (w *HTTPWorkers) Renew(ctx context.Context, address string, r RenewRequest) (SessionAnswer, error) {
	var answer SessionAnswer
	err := w.client.post(ctx, "http://"+address+PathRenewSession, r, &answer)
	return answer, err
}

// Command implements Workers.
func (w *HTTPWorkers) Command(ctx context.Context, address string, r CommandRequest) (CommandAnswer, error) {
	var answer CommandAnswer
	err := w.client.post(ctx, "http://"+address+PathCommand, r, &answer)
	return answer, err
}
