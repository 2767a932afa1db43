package joiner

import (
	crand "crypto/rand"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/tailscale/hujson"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/keeper"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// daemonOperator is the operator of changes that daemons make themselves.
const daemonOperator = "carawaytiller"

// finishMove writes the final state of a rollout on a goroutine of its own, until it is known to be there.
func (m *Member) finishMove(e reducer.FinishMove) {
	m.tasks.Go(func() {
		for {
			isDone, err := m.tryFinishMove(e)
			if isDone {
				return
			}
			m.cfg.Logger.Error(err, "final state not written", "Move", e.Move, "State", e.State)
			if m.pause(joinAgainMillis) != nil {
				return
			}
		}
	})
}

// tryFinishMove writes the final state once. It is done, too, when the move has a final state or is gone.
func (m *Member) tryFinishMove(e reducer.FinishMove) (bool, error) {
	record, _, err := m.keeper.Read(m.ctx, m.cfg.Environment)
	if err != nil {
		return false, err
	}
	text, isOpen, err := withMoveState(record.Text, e.Move, e.State)
	if err != nil || !isOpen {
		return err == nil, err
	}
	revision, err := m.keeper.Accept(m.ctx, keeper.Change{
		Environment: m.cfg.Environment,
		Operation:   "finish-" + crand.Text(),
		Operator:    daemonOperator,
		Expected:    record.Revision,
		Text:        text,
	})
	if err != nil {
		return false, err
	}
	m.cfg.Logger.Info("rollout finished", "Move", e.Move, "State", e.State, "Detail", e.Detail, "Revision", revision)
	if s := m.syncer.Load(); s != nil {
		s.LearnRecord(keeper.Record{Revision: revision, Text: text})
	}
	return true, nil
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
