package aqsite_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciaquay/internal/peer/aqinbound"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqsite"
	"acaciaquay/platform"
	"acaciaquay/platform/aqfake"
)

// unreadable is the value of an item that the store lists with a text that is not base64.
const unreadable = "unreadable"

// oddEntries returns entries of service discovery that name no worker to use, made from that
// of a sound one.
func oddEntries(t *testing.T, sound []byte) map[string][]byte {
	t.Helper()
	entries := map[string][]byte{
		"no-json":    []byte("no JSON"),
		"no-bytes":   {0xff, 0xfe, 0x00},
		"empty":      {},
		"list":       []byte(strings.Repeat("[", 200_000)),
		"unreadable": []byte(unreadable),
		"":           sound,
		"i\r\n1":     sound,
	}
	change := func(name, field, value string) {
		var entry map[string]json.RawMessage
		if err := json.Unmarshal(sound, &entry); err != nil {
			t.Fatal(err)
		}
		entry[field] = json.RawMessage(value)
		data, err := json.Marshal(entry)
		if err != nil {
			t.Fatal(err)
		}
		entries[name] = data
	}
	const highest = "9223372036854775807"
	nested := strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)
	change("port-too-large", "addr", `"127.0.0.1:99999"`)
	change("port-negative", "addr", `"127.0.0.1:-1"`)
	change("port-missing", "addr", `"127.0.0.1"`)
	change("host-name", "addr", `"worker.example:80"`)
	change("path", "addr", `"127.0.0.1:1/x?y#"`)
	change("address-long", "addr", `"`+strings.Repeat("1", 100_000)+`"`)
	change("capacity-too-large", "capacity", `{"cpu":`+highest+`,"mem_mb":`+highest+`,"gpus":`+highest+`}`)
	change("capacity-negative", "capacity", `{"cpu":-5,"mem_mb":-5,"gpus":-5}`)
	change("capacity-nested", "capacity", nested)
	change("capacity-exponent", "capacity", `{"cpu":1e400}`)
	change("remaining-too-large", "remaining_ms", highest)
	change("born-too-large", "born", highest)
	change("born-negative", "born", "-1")
	change("labels-nested", "labels", nested)
	change("labels-long", "labels", `["`+strings.Repeat("r-", 50_000)+`"]`)
	change("service-unknown", "service", `"elsewhere"`)
	change("state-unknown", "state", `"asleep"`)
	change("state-nested", "state", nested)
	change("field-nested", "note", nested)
	return entries
}

// spoil replaces the values that are unreadable in the answers of a store.
func spoil(store http.Handler) http.Handler {
	encoded, _ := json.Marshal([]byte(unreadable))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		store.ServeHTTP(recorder, r)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(bytes.ReplaceAll(recorder.Body.Bytes(), encoded, []byte(`"not base64!"`)))
	})
}

// starts records the workers on which runs start.
type starts struct {
	mu sync.Mutex
	on map[string]int
}

func (s *starts) Started(worker string, _ aqfake.TaskRun, _, _ string) aqfake.Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on[worker]++
	return aqfake.Work{Duration: 20 * time.Millisecond}
}
func (s *starts) Ended(string, aqfake.TaskRun, string)        {}
func (s *starts) Acknowledged(string, aqfake.TaskRun, string) {}

// lockedWriter is a writer of several processes.
type lockedWriter struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func (w *lockedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.String()
}

// startNode runs a process of the site, and returns the address for submitters and a
// function that stops the process.
func startNode(t *testing.T, name, store string, logs io.Writer) (front string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	log, err := aqlog.New(logs, name, "all")
	if err != nil {
		t.Fatal(err)
	}
	metrics := aqmetric.New()
	node := aqsite.NewNode(aqsite.Options{
		Settings: aqsite.Settings{
			Name:        name,
			Zone:        "zone0",
			PeerAddress: peer,
			Processors:  1,
			WorkerLease: 3 * time.Second,
			Decider: aqdecider.Limits{
				DrainMargin: 200 * time.Millisecond,
				Retention:   time.Minute,
				StopGrace:   200 * time.Millisecond,
			},
		},
		Store:   platform.NewStore(store, func(string, time.Duration, error) {}),
		Workers: platform.NewWorkers(),
		Catalog: platform.Catalog(),
		Clock:   aqclock.System{},
		Log:     log,
		Metrics: metrics,
		PeerLimits: aqinbound.Limits{
			Connections: 100,
			Budget:      aqinbound.DefaultBudget(0, aqpeer.MaxFrameBytes),
		},
		Incarnation: time.Now().UnixNano(),
	})
	server := httptest.NewServer(platform.NewJobHandler(node, log, metrics))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			select {
			case err := <-ended:
				t.Errorf("%s has ended by itself: %v", name, err)
			default:
				node.StopAccepting()
				cancel()
				if err := <-ended; err != nil {
					t.Errorf("%s: %v", name, err)
				}
			}
			server.Close()
			node.Close()
		})
	}
	t.Cleanup(stop)
	return strings.TrimPrefix(server.URL, "http://"), stop
}

func TestOddEntriesBesideSoundWorkersStopNobody(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	store := aqfake.NewStore(1, done)
	storeServer := httptest.NewServer(spoil(store))
	defer storeServer.Close()
	observer := &starts{on: map[string]int{}}
	worker := aqfake.NewWorker("sound", 4000, 1, observer, done)
	workerServer := httptest.NewServer(worker)
	defer workerServer.Close()
	sound := worker.Entry(aqfake.Pool, strings.TrimPrefix(workerServer.URL, "http://"), "zone0")
	config, err := aqfake.Config(1, 3)
	if err != nil {
		t.Fatal(err)
	}
	store.Put(aqfake.ConfigKey, config)
	store.Put(aqfake.WorkerKey("sound"), sound)
	odd := oddEntries(t, sound)
	leaveOddEntries := func() {
		for name, value := range odd {
			store.Put(aqfake.WorkerKey(name), value)
		}
	}
	submitter := aqfake.Submitter{Client: &http.Client{}, Timeout: 5 * time.Second}
	jobs := 0
	complete := func(stage, front string) {
		t.Helper()
		jobs++
		id := fmt.Sprintf("%016x", jobs)
		steps := []aqfake.Step{{Count: 8, MilliCPU: 1000, Estimate: 20 * time.Millisecond}}
		for {
			if outcome, err := submitter.Submit(ctx, front, id, "text", steps); err == nil && outcome == aqfake.OutcomeAccepted {
				break
			}
			if ctx.Err() != nil {
				t.Fatalf("%s: the job was not accepted", stage)
			}
			time.Sleep(20 * time.Millisecond)
		}
		for {
			if state, _ := submitter.State(ctx, front, id); state == "completed" {
				return
			}
			if ctx.Err() != nil {
				t.Fatalf("%s: the job was not completed", stage)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	var logs lockedWriter
	address := strings.TrimPrefix(storeServer.URL, "http://")

	front, stop := startNode(t, "node1", address, &logs)
	complete("before", front)
	leaveOddEntries()
	complete("watch", front)
	store.Put(aqfake.WorkerKey("sound"), odd["born-too-large"])
	store.Put(aqfake.WorkerKey("sound"), sound)
	complete("odd entry of the sound worker", front)
	store.Compact()
	leaveOddEntries()
	complete("full read", front)
	stop()
	front, stop = startNode(t, "node2", address, &logs)
	complete("next leader", front)
	leaveOddEntries()
	complete("watch of the next leader", front)
	stop()

	observer.mu.Lock()
	defer observer.mu.Unlock()
	if observer.on["sound"] != 8*jobs || len(observer.on) != 1 {
		t.Errorf("starts %v, want %d on the sound worker", observer.on, 8*jobs)
	}
	text := logs.String()
	if _, panicked, found := strings.Cut(text, "Event=105 "); found {
		t.Errorf("a panic was contained:\n%.3000s", panicked)
	}
	if ignored := strings.Count(text, "Event=913 "); ignored == 0 || ignored > 2*len(odd)+2 {
		t.Errorf("%d lines about ignored entries, want at most %d", ignored, 2*len(odd)+2)
	}
}
