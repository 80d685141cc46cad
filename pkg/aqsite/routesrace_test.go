package aqsite

import (
	"fmt"
	"sync"
	"testing"
)

// Guards against CONFIG: the watch and a check applied two versions at the same time, the older one was stored last, and it
// stayed in force: the process takes itself to have the newest one.
func TestNewestOfTwoConfigurationsIsKept(t *testing.T) {
	older := &Config{Version: 5}
	for i := range 20000 {
		older.Routes = append(older.Routes, Route{Host: fmt.Sprint(i)})
	}
	newer := &Config{Version: 6}
	for range 20 {
		var r routes
		r.apply(&Config{Version: 4})
		var group sync.WaitGroup
		begun := make(chan struct{})
		group.Add(1)
		go func() {
			defer group.Done()
			close(begun)
			r.apply(older)
		}()
		<-begun
		r.apply(newer)
		group.Wait()
		if version := r.config().Version; version != 6 {
			t.Fatalf("version %d is in force, want 6", version)
		}
	}
}
