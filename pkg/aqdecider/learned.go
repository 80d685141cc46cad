package aqdecider

// LearnedInterference encodes what has been learned of which fillers harm which serving tasks.
func (d *Decider) LearnedInterference() ([]byte, error) { return d.model.Record() }

// RestoreInterference takes over what an earlier decider has learned, where this one has learned
// nothing itself. It changes nothing if the record cannot be used.
func (d *Decider) RestoreInterference(value []byte) error {
	if err := d.model.Restore(value); err != nil {
		return err
	}
	clear(d.harmedShares)
	return nil
}
