package main

import (
	"math/rand"
	"sync"
	"time"
)

// rackWait sends, three times, jobs that want one rack (the disruption: many of them at once), and after them a
// job of many dependent steps whose data is on that rack.
func rackWait(w *world) error {
	if err := w.build(3, 2, 64000, proof, impose); err != nil {
		return err
	}
	random := rand.New(rand.NewSource(11))
	rack := "r1-2"
	if w.trouble {
		rack = "r1-1"
	}
	for round := range 3 {
		var all sync.WaitGroup
		// These need more than both workers of their rack.
		for n := range 3 {
			j := &job{
				id:    newID(random),
				queue: impose,
				Spec:  "impose",
				Steps: []*step{{
					Count: 8, CPU: 7000, MemMB: 13000, EstimateMS: 5000, Affinity: rack, work: 5 * time.Second,
				}},
			}
			all.Add(1)
			go func() {
				defer all.Done()
				w.submit(j, round+n)
			}()
		}
		all.Wait()
		time.Sleep(500 * time.Millisecond)
		j := &job{id: newID(random), queue: proof, Spec: "proof"}
		for i := range dependentSteps {
			s := &step{Count: 1, CPU: 4600, MemMB: 9200, EstimateMS: 100, Affinity: "r1-1", work: 100 * time.Millisecond}
			for before := range i {
				s.After = append(s.After, before)
			}
			j.Steps = append(j.Steps, s)
		}
		w.submit(j, round)
		time.Sleep(10 * time.Second)
	}
	w.settle(30*time.Second, nil)
	w.askAll()
	return nil
}

// dependentSteps is the number of steps of a job, each of which names all earlier ones.
const dependentSteps = 40

// askAll asks every node for every accepted job. A node that answers none of five calls in their
// deadlines hangs.
func (w *world) askAll() {
	w.mu.Lock()
	var any *job
	for _, j := range w.jobs {
		if j.accepted {
			any = j
		}
	}
	w.mu.Unlock()
	if any == nil {
		return
	}
	var all sync.WaitGroup
	for _, n := range w.nodes {
		all.Add(1)
		go func() {
			defer all.Done()
			w.askNode(n, any)
		}()
	}
	all.Wait()
}

func (w *world) askNode(n *node, j *job) {
	ready, _ := probe(n)
	for range 5 {
		state, status, err := w.state(n, j)
		w.note("client: GET %s at %s: %d %q %v", j.id, n.name, status, state, err)
		if err == nil {
			return
		}
	}
	w.breach("LOST", "%s answers none of five calls for the accepted job %s within %v each; its readiness probe says %d",
		n.name, j.id, clientDeadline, ready)
}

// probe asks for the readiness of a node, as the platform does.
func probe(n *node) (int, error) {
	response, err := httpClient.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}
