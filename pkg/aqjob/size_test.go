package aqjob

import (
	"slices"
	"strings"
	"testing"
)

// A compact job is small and means the same: equal texts stay equal, different ones differ, and
// what others compare with labels of workers stays if a worker can have it.
func TestCompact(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	label := strings.Repeat("l", maxNameBytes)
	j := &Job{
		ID:      "0123456789abcdef",
		Payload: strings.Repeat("p", maxPayloadBytes),
		Groups: []Group{
			{Count: 1, Image: long, Constraint: label},
			{Count: 1, Image: long, Affinity: long + "y", After: slices.Repeat([]int{0}, 50_000)},
			{Count: 1, After: []int{1, 0, 1}},
		},
	}
	j.Compact()
	first, second := j.Groups[0], j.Groups[1]
	if first.Image != second.Image || first.Image == second.Affinity || len(first.Image) > maxNameBytes {
		t.Errorf("images %q, %q, affinity %q", first.Image, second.Image, second.Affinity)
	}
	if first.Constraint != label || len(j.Payload) != maxPayloadBytes {
		t.Error("a short text or the payload has changed")
	}
	if !slices.Equal(second.After, []int{0}) || cap(second.After) > 64 || !slices.Equal(j.Groups[2].After, []int{0, 1}) {
		t.Errorf("after %v (room for %d), %v", second.After, cap(second.After), j.Groups[2].After)
	}
	if err := j.Validate(); err != nil {
		t.Error(err)
	}
	before := j.Bytes()
	j.Compact()
	if j.Bytes() != before || before > 3*maxPayloadBytes {
		t.Errorf("%d bytes, then %d", before, j.Bytes())
	}
}
