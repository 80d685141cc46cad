package aqjob

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// maxNameBytes is the longest text of a group that is kept as it is. Labels of workers are not
// longer.
const maxNameBytes = 200

// Compact replaces what makes a job large by something shorter that means the same: a long text
// by its digest, which differs wherever the text does and is no label of a worker, and an
// earlier group that is named twice by one. The payload stays.
func (j *Job) Compact() {
	for i := range j.Groups {
		g := &j.Groups[i]
		for _, text := range []*string{&g.Constraint, &g.Affinity, &g.Image} {
			if len(*text) > maxNameBytes {
				digest := sha256.Sum256([]byte(*text))
				*text = "sha256:" + hex.EncodeToString(digest[:])
			}
		}
		slices.Sort(g.After)
		if distinct := slices.Compact(g.After); len(distinct) < len(g.After) {
			g.After = slices.Clone(distinct)
		}
	}
}

// Memory that a job takes besides its texts.
const (
	jobBytes   = 1024
	groupBytes = 512
	afterBytes = 8
)

// Bytes estimates the memory that a job takes while it is not finished, without its tasks.
func (j *Job) Bytes() int {
	total := jobBytes + len(j.Payload)
	for _, g := range j.Groups {
		total += groupBytes + len(g.Constraint) + len(g.Affinity) + len(g.Image) + afterBytes*len(g.After)
	}
	return total
}
