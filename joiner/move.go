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
	// daemonOperator is the operator of changes that daemons make themselves.
	daemonOperator = "carawaytiller"
	// finishAgainMillis bounds the wait before another try to write a final state.
	finishRetryMillis = tiller.Second
)

// finishMove writes the final state of a rollout on a goroutine of its own, until it is known to be there.
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

// tryFinishMove writes the final state once. It is done, too, when the move has a final state or is gone.
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

// pause waits before another try, or until the member ends. Half of the wait is random.
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

// decodeDocument parses and checks the text of a document.
func decodeDocument(text string) (*tiller.Document, error) {
	doc, faults := decoder.DecodeDocument("", []byte(text))
	if len(faults) > 0 {
		return nil, errors.New(faults.String())
	}
	return doc, nil
}

// withMoveState returns text with the final state of a move and every comment, and whether the move was open.
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
