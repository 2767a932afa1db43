package joiner

import (
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/reducer"
)

const (
	// daemonOperator is the operator name in changes that daemons make themselves.
	daemonOperator = "carawaytiller"
	// finishRetryMillis is the longest wait before writing a final state is retried.
	finishRetryMillis = tiller.Second
)

// finishMove writes the final state of a rollout to the stored document on its own goroutine.
// It retries until the document is known to have a final state or the member is closed.
func (m *Member) finishMove(e reducer.FinishMove) {
	m.tasks.Go(func() {
		for {
			isDone, err := m.tryFinishMove(e)
			if isDone {
				return
			}
			m.cfg.Logger.Error(err, "final state not written", "Move", e.Move, "State", e.State)
			if m.waitForRetry() != nil {
				return
			}
		}
	})
}

// tryFinishMove makes one attempt to write the final state. It reports true when the state is written,
// and also when the move already has a final state or is no longer in the document.
func (m *Member) tryFinishMove(e reducer.FinishMove) (bool, error) {
	stored, err := m.provisioner.GetDocument(m.ctx, m.cfg.Environment)
	if err != nil {
		return false, err
	}
	text, isOpen, err := withMoveState(stored.Text, e.Move, e.State)
	if err != nil || !isOpen {
		return err == nil, err
	}
	accepted, err := m.provisioner.PutDocument(m.ctx, m.cfg.Environment, &operator.Change{
		Operation:        "finish-" + crand.Text(),
		Operator:         daemonOperator,
		ExpectedRevision: stored.Revision,
		Text:             text,
	})
	if err != nil {
		return false, err
	}
	m.cfg.Logger.Info("rollout finished", "Move", e.Move, "State", e.State, "Detail", e.Detail, "Revision", accepted.Revision)
	return true, nil
}

// waitForRetry waits from half of finishRetryMillis up to all of it, at random.
// It returns the error of the member's context when the member is closed first.
func (m *Member) waitForRetry() error {
	half := finishRetryMillis / 2
	timer := time.NewTimer((half + tiller.Millis(rand.Int64N(int64(half)))).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-m.ctx.Done():
		return m.ctx.Err()
	}
}

// decodeDocument parses and validates the text of a document.
func decodeDocument(text string) (*tiller.Document, error) {
	doc, faults := decoder.DecodeDocument("", []byte(text))
	if len(faults) > 0 {
		return nil, errors.New(faults.String())
	}
	return doc, nil
}

// withMoveState returns text with the final state set for a move; comments are kept. It reports false, and returns
// no text, when the move is not in the document or already has a final state.
func withMoveState(text, move string, state tiller.MoveState) (string, bool, error) {
	doc, err := decodeDocument(text)
	if err != nil {
		return "", false, err
	}
	i := slices.IndexFunc(doc.Moves, func(m tiller.Move) bool { return m.Name == move })
	if i < 0 || doc.Moves[i].State != "" {
		return "", false, nil
	}
	value, err := hujson.Parse([]byte(text))
	if err != nil {
		return "", false, err
	}
	patch, err := json.Marshal([]map[string]any{{"op": "add", "path": fmt.Sprintf("/Moves/%d/State", i), "value": state}})
	if err != nil {
		return "", false, err
	}
	if err := value.Patch(patch); err != nil {
		return "", false, err
	}
	return string(value.Pack()), true, nil
}
