package messenger

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/carawaytiller/carawaytiller/tracker"
)

// SendLease queues a message of the lease protocol for a seat; messages queued for the same seat are sent
// together. It does not wait. A message that cannot be sent is counted and dropped; the lease protocol
// tolerates lost messages.
func (m *Messenger) SendLease(to int, lease tracker.Message) {
	m.mu.Lock()
	queue, sending := m.leaseQueues[to]
	if len(queue) >= MaxQueuedLeases {
		queue = queue[1:]
		m.count(countUnsent, 1)
	}
	m.leaseQueues[to] = append(queue, lease)
	m.mu.Unlock()
	if !sending {
		m.spawn(func() { m.sendLeases(to) })
	}
}

// sendLeases sends the queued lease messages of a seat until the queue is empty.
func (m *Messenger) sendLeases(to int) {
	for {
		linger := time.NewTimer(LingerMillis.Duration())
		select {
		case <-m.ctx.Done():
			linger.Stop()
			return
		case <-linger.C:
		}
		leases := m.takeLeases(to)
		if len(leases) == 0 {
			return
		}
		m.send(to, notice{Leases: leases})
	}
}

// takeLeases empties the queue of a seat and returns the messages. If the queue is already empty it deletes
// the queue; the next SendLease then starts sendLeases again.
func (m *Messenger) takeLeases(to int) []tracker.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	leases := m.leaseQueues[to]
	if len(leases) == 0 {
		delete(m.leaseQueues, to)
		return nil
	}
	m.leaseQueues[to] = nil
	return leases
}

// SendLeaving announces to a seat that this daemon is about to stop. It does not wait.
func (m *Messenger) SendLeaving(to int, l Leaving) {
	m.sendAsync(to, notice{Leaving: &l})
}

// SendDigest sends the revisions that this daemon has to a seat. It does not wait.
func (m *Messenger) SendDigest(to int, d RevisionDigest) {
	m.sendAsync(to, notice{Digest: &d})
}

// SendPush sends a revision to a seat. It does not wait.
func (m *Messenger) SendPush(to int, p RevisionPush) {
	m.sendAsync(to, notice{Push: &p})
}

// sendAsync sends a notice on another goroutine, or counts and drops it when maxPendingNotices are being sent.
func (m *Messenger) sendAsync(to int, n notice) {
	select {
	case m.noticeSlots <- struct{}{}:
	default:
		m.count(countUnsent, 1)
		return
	}
	sending := m.spawn(func() {
		defer func() { <-m.noticeSlots }()
		m.send(to, n)
	})
	if !sending {
		<-m.noticeSlots
	}
}

// send sends a notice. One that cannot be sent is counted, logged and dropped.
func (m *Messenger) send(to int, n notice) {
	n.From, n.To = m.cfg.Seat(), to
	if err := m.trySend(to, n); err != nil {
		m.count(countUnsent, max(1, len(n.Leases)))
		m.cfg.Log.V(1).Info("message not sent", "seat", to, "cause", err.Error())
		return
	}
	m.count(countSent, 1)
}

func (m *Messenger) trySend(to int, n notice) error {
	b, err := encode(n)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(m.ctx, messageTimeoutMillis.Duration())
	defer cancel()
	var stream *quic.SendStream
	c, err := m.openStreamTo(ctx, to, func(conn *quic.Conn) (err error) {
		stream, err = conn.OpenUniStreamSync(ctx)
		return err
	})
	if err != nil {
		return err
	}
	defer func() { m.conns.release(c, m.cfg.Clock.Now()) }()
	_ = stream.SetWriteDeadline(time.Now().Add(messageTimeoutMillis.Duration()))
	if _, err := stream.Write(b); err != nil {
		stream.CancelWrite(codeCancelled)
		return err
	}
	return stream.Close()
}

// Flush waits until no notice is queued or being written, and then for FlushMillis for the packets in
// flight. Call it before Close when a daemon stops, because Close discards data that is not yet delivered.
func (m *Messenger) Flush(ctx context.Context) error {
	ticker := time.NewTicker(LingerMillis.Duration())
	defer ticker.Stop()
	for m.hasPending() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	timer := time.NewTimer(FlushMillis.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (m *Messenger) hasPending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.leaseQueues) > 0 || len(m.noticeSlots) > 0
}
