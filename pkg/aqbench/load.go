package aqbench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"acaciaquay/pkg/aqstandin"
)

// Stream is one open-loop load: requests arrive as a Poisson process at Rate a second,
// whether or not earlier ones have been answered.
type Stream struct {
	Urgency string
	Rate    float64
	Timeout time.Duration
	// HotShare is the fraction of the requests that go to the first gateway. The rest
	// is spread evenly over all.
	HotShare float64
}

// Outcome holds the counts and latencies of a stream.
type Outcome struct {
	Sent     int
	Answered int
	P50      time.Duration
	P99      time.Duration
	P999     time.Duration
}

type requestPlan struct {
	gateway int
	work    time.Duration
	urgency string
	caller  string
	timeout time.Duration
}

// Service times of the requests. The mix is bimodal: longShare of them take longWork.
const (
	shortWork = 50 * time.Millisecond
	longWork  = 550 * time.Millisecond
	longShare = 0.1
	// meanWork is the mean of the mix.
	meanWork = 100 * time.Millisecond
	// callers is the number of distinct callers.
	callers = 20
)

// Capacity returns how many requests a second the site's endpoints can process.
func (s *Site) Capacity() float64 {
	return float64(s.Endpoints*aqstandin.DefaultSlots) / meanWork.Seconds()
}

const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Run sends the streams concurrently for the given length and returns one outcome for
// each.
func (s *Site) Run(length time.Duration, seed uint64, streams ...Stream) []Outcome {
	outcomes := make([]Outcome, len(streams))
	var running sync.WaitGroup
	for i, stream := range streams {
		running.Add(1)
		go func() {
			defer running.Done()
			outcomes[i] = s.runStream(length, rand.New(rand.NewPCG(seed, uint64(i))), stream)
		}()
	}
	running.Wait()
	return outcomes
}

func (s *Site) runStream(length time.Duration, random *rand.Rand, stream Stream) Outcome {
	var mu sync.Mutex
	var outcome Outcome
	latency := hdrhistogram.New(1, histogramMax, histogramDigits)
	var requests sync.WaitGroup
	next := time.Now()
	end := next.Add(length)
	for next.Before(end) {
		next = next.Add(time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		plan := s.plan(random, stream)
		outcome.Sent++
		requests.Add(1)
		go func() {
			defer requests.Done()
			began := time.Now()
			answered := s.send(context.Background(), plan)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			if answered {
				outcome.Answered++
				_ = latency.RecordValue(took.Microseconds())
			}
		}()
	}
	requests.Wait()
	outcome.P50 = time.Duration(latency.ValueAtQuantile(50)) * time.Microsecond
	outcome.P99 = time.Duration(latency.ValueAtQuantile(99)) * time.Microsecond
	outcome.P999 = time.Duration(latency.ValueAtQuantile(99.9)) * time.Microsecond
	return outcome
}

func (s *Site) plan(random *rand.Rand, stream Stream) requestPlan {
	plan := requestPlan{
		gateway: random.IntN(len(s.gateways)),
		work:    shortWork,
		urgency: stream.Urgency,
		caller:  string(rune('a' + random.IntN(callers))),
		timeout: stream.Timeout,
	}
	if random.Float64() < stream.HotShare {
		plan.gateway = 0
	}
	if random.Float64() < longShare {
		plan.work = longWork
	}
	return plan
}
