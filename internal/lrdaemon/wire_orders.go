package lrdaemon

// wireOrders makes the part that gives orders to engines.
func (d *Daemon) wireOrders() {}
