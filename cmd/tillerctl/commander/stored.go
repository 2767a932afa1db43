package commander

import (
	"context"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/decoder"
)

// stored is the document of an environment as it stands in the store.
type stored struct {
	// revision is 0 when there is no document.
	revision int64
	text     string
}

// document decodes s. It returns nil when there is no document, or none that this program understands.
func (s stored) document() *tiller.Document {
	doc, _ := decoder.DecodeDocument("", []byte(s.text))
	return doc
}

// getDocument reads the document of an environment.
func getDocument(ctx context.Context, daemons []daemon, env string) (stored, error) {
	return firstReply(ctx, daemons, func(ctx context.Context, d daemon) (stored, error) {
		params := operator.GetDocumentParams{Env: operator.GetDocumentEnv(env)}
		reply, err := d.GetDocument(ctx, params)
		if err != nil {
			return stored{}, errors.Wrap(err, "get document")
		}
		return storedFrom(reply)
	})
}

// storedFrom returns the document in a reply.
func storedFrom(reply operator.GetDocumentRes) (stored, error) {
	switch r := reply.(type) {
	case *operator.StoredDocument:
		return stored{revision: r.Revision, text: r.Text}, nil
	case *operator.ErrorStatusCode:
		if r.Response.Reason == operator.ErrorReasonNotFound {
			return stored{}, nil
		}
		return stored{}, refusal(r)
	}
	return stored{}, errors.Errorf("unexpected reply %T", reply)
}
