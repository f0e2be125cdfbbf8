package lrdaemon

// wirePaid makes the runner of paid actions. Paid routes are refused while there is none.
func (d *Daemon) wirePaid() {}
