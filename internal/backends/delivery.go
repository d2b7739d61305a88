package backends

import "time"

// acknowledgmentDelay is by how much the acknowledgment of a byte that has arrived in time may be late.
const acknowledgmentDelay = 50 * time.Millisecond

// deliveryTimer limits the time in which the last byte of one attempt must reach the backend.
type deliveryTimer struct {
	conn  *conn
	timer *time.Timer
}

// startDeliveryTimer starts the timer if the permit limits the time.
func (c *conn) startDeliveryTimer() {
	if !c.permit.announced.Limited {
		return
	}
	within := time.Until(c.permit.checkedAt.Add(c.permit.announced.CompleteWithin))
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.closed {
		return
	}
	d := &deliveryTimer{conn: c}
	c.delivery = d
	d.timer = time.AfterFunc(within, func() { d.expire(false) })
}

// stopDeliveryTimer must be called with pool.mu held.
func (c *conn) stopDeliveryTimer() {
	if c.delivery != nil {
		c.delivery.timer.Stop()
		c.delivery = nil
	}
}

// expire closes the connection if the last byte is overdue. waited means that the byte was already sent when the time
// was over, and that acknowledgmentDelay has passed since.
func (d *deliveryTimer) expire(waited bool) {
	if d.overdue(waited) {
		d.conn.refuse(errUnwanted)
		d.conn.discard()
	}
}

func (d *deliveryTimer) overdue(waited bool) bool {
	c := d.conn
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.delivery != d {
		return false // the attempt has ended
	}
	if !c.lastWriteBegun.Load() {
		return true
	}
	unacknowledged, unsent, ok := c.queued()
	if !ok || unacknowledged == 0 {
		return false
	}
	if unsent > 0 || waited {
		return true
	}
	d.timer = time.AfterFunc(acknowledgmentDelay, func() { d.expire(true) })
	return false
}
